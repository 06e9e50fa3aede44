#ifndef REDWINGRACK_HTTP1_ENDPOINT_H
#define REDWINGRACK_HTTP1_ENDPOINT_H

#include <asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace rr {

/// Parses the IP:PORT of a server to connect to. Empty if \p Address has
/// another form, the port is 0 or above 65535, or the IP is the unspecified
/// address, which reaches this machine.
std::optional<asio::ip::tcp::endpoint>
parseEndpoint(const std::string &Address);

} // namespace rr

#endif // REDWINGRACK_HTTP1_ENDPOINT_H
