#ifndef REDWINGRACK_PEERLINK_PEERADDRESS_H
#define REDWINGRACK_PEERLINK_PEERADDRESS_H

#include "base/Outcome.h"

#include <asio/ip/tcp.hpp>
#include <string>

namespace rr {

/// Reads 127.0.0.1:80 or [::1]:80; no names are resolved.
Outcome<asio::ip::tcp::endpoint> parsePeerAddress(const std::string &Text);

std::string formatPeerAddress(const asio::ip::tcp::endpoint &Address);

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEERADDRESS_H
