#ifndef REDWINGRACK_SETTINGS_SOCKETADDRESS_H
#define REDWINGRACK_SETTINGS_SOCKETADDRESS_H

#include <cstdint>
#include <string>

namespace rr {

/// IP number and port.
struct SocketAddress {
  std::string Ip;
  std::uint16_t Port = 0;
};

/// In the form IP:PORT, with brackets around an IPv6 number.
std::string formatAddress(const SocketAddress &Address);

/// Reads IP:PORT or [IPv6]:PORT; returns whether \p Text has that form.
bool parseAddress(const std::string &Text, SocketAddress &Address);

} // namespace rr

#endif // REDWINGRACK_SETTINGS_SOCKETADDRESS_H
