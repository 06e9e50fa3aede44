#ifndef REDWINGRACK_PEERLINK_PEERADDRESS_H
#define REDWINGRACK_PEERLINK_PEERADDRESS_H

#include "base/Outcome.h"

#include <asio/ip/tcp.hpp>
#include <string>

namespace rr {

/// Parses a numeric address such as 127.0.0.1:80 or [::1]:80. Host names are
/// not resolved. Errc::Malformed for anything else.
Outcome<asio::ip::tcp::endpoint> parsePeerAddress(const std::string &Text);

std::string formatPeerAddress(const asio::ip::tcp::endpoint &Address);

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEERADDRESS_H
