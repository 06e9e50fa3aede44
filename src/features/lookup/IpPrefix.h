#ifndef REDWINGRACK_LOOKUP_IPPREFIX_H
#define REDWINGRACK_LOOKUP_IPPREFIX_H

#include "lookup/IpAddress.h"

namespace rr {

/// All addresses that share the first Length bits of Address.
struct IpPrefix {
  IpAddress Address;
  /// 0 to 32 for IPv4, 0 to 128 for IPv6.
  std::uint8_t Length = 0;

  bool operator==(const IpPrefix &) const = default;
};

/// Reads ADDRESS/LENGTH. Errors: Malformed, also when bits behind the length
/// are set, because such a prefix is usually a typing mistake.
Outcome<IpPrefix> parsePrefix(std::string_view Text);

/// Whether \p Address belongs to \p Prefix.
bool contains(const IpPrefix &Prefix, const IpAddress &Address);

} // namespace rr

#endif // REDWINGRACK_LOOKUP_IPPREFIX_H
