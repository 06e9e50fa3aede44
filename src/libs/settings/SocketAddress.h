#ifndef REDWINGRACK_SETTINGS_SOCKETADDRESS_H
#define REDWINGRACK_SETTINGS_SOCKETADDRESS_H

#include <cstdint>
#include <string>

namespace rr {

/// Numeric IP address and port.
struct SocketAddress {
  std::string Ip;
  std::uint16_t Port = 0;
};

/// Formats as IP:PORT, or [IPv6]:PORT.
std::string formatAddress(const SocketAddress &Address);

/// Parses IP:PORT or [IPv6]:PORT. Returns false when \p Text does not have that
/// form.
bool parseAddress(const std::string &Text, SocketAddress &Address);

} // namespace rr

#endif // REDWINGRACK_SETTINGS_SOCKETADDRESS_H
