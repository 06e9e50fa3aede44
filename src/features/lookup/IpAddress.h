#ifndef REDWINGRACK_LOOKUP_IPADDRESS_H
#define REDWINGRACK_LOOKUP_IPADDRESS_H

#include "base/Outcome.h"

#include <cstdint>
#include <string_view>

namespace rr {

/// An IPv4 or IPv6 address. IPv4-mapped IPv6 addresses are kept as IPv4.
struct IpAddress {
  /// Upper 64 bits of an IPv6 address; 0 for IPv4.
  std::uint64_t High = 0;
  /// Lower 64 bits of an IPv6 address, or the 32 bits of an IPv4 address.
  std::uint64_t Low = 0;
  bool IsV4 = true;

  bool operator==(const IpAddress &) const = default;
};

/// Reads an address without port, brackets or scope. Errors: Malformed.
Outcome<IpAddress> parseAddress(std::string_view Text);

/// Hash that is the same in every process.
std::uint64_t hashAddress(const IpAddress &Address);

} // namespace rr

#endif // REDWINGRACK_LOOKUP_IPADDRESS_H
