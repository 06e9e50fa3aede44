#ifndef REDWINGRACK_HTTP1_CONNECTIONREFUSAL_H
#define REDWINGRACK_HTTP1_CONNECTIONREFUSAL_H

#include "base/Timer.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>

namespace rr {

/// Refuses one connection for which the server has no room. Needs far less
/// memory and time than an HttpSession: the request is not parsed.
class ConnectionRefusal
    : public std::enable_shared_from_this<ConnectionRefusal> {
public:
  ConnectionRefusal(asio::ip::tcp::socket Opened, asio::io_context &Context);

  /// Reads the head of a request, answers 503 with \p RetryAfter and closes the
  /// connection. Closes it without an answer, and returns false, if the head
  /// does not arrive within \p Timeout.
  asio::awaitable<bool> run(Clock::duration Timeout,
                            Clock::duration RetryAfter);
  /// Closes the connection immediately.
  void close();

private:
  asio::awaitable<bool> readHead();
  asio::awaitable<void> discardInput();
  void closeAfter(Clock::duration Timeout);

  asio::ip::tcp::socket Socket;
  Timer Timeout;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_CONNECTIONREFUSAL_H
