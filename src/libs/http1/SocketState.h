#ifndef REDWINGRACK_HTTP1_SOCKETSTATE_H
#define REDWINGRACK_HTTP1_SOCKETSTATE_H

#include "base/Clock.h"

#include <asio/ip/tcp.hpp>

#include <optional>

namespace rr {

/// Whether input, or the end of the stream, waits to be read. Does not block
/// and consumes nothing. False for a closed socket.
bool hasUnreadInput(asio::ip::tcp::socket &Socket);

/// Time since the other end closed or reset the connection, also when input
/// that it sent before is still unread. Zero if it is not known, empty while
/// the connection is open. Does not block.
std::optional<Clock::duration> timeSincePeerLeft(asio::ip::tcp::socket &Socket);

/// Whether reading from \p Descriptor would not block; for a listening socket,
/// whether a connection is pending.
bool isReadable(int Descriptor);

} // namespace rr

#endif // REDWINGRACK_HTTP1_SOCKETSTATE_H
