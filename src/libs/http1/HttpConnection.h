#ifndef REDWINGRACK_HTTP1_HTTPCONNECTION_H
#define REDWINGRACK_HTTP1_HTTPCONNECTION_H

#include "base/Cancellation.h"
#include "base/Clock.h"
#include "http1/ConnectionBudget.h"
#include "http1/ExchangeResult.h"
#include "http1/ParserLimits.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace rr {

/// Client connection to a server. Carries one request at a time.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  /// Returns whether a response belongs to the request. Other responses are
  /// skipped.
  using ResponseFilter = std::function<bool(const HttpMessage &)>;

  /// \p Slot is kept until the connection is closed.
  explicit HttpConnection(asio::io_context &Context,
                          ConnectionBudget::SlotPtr Slot = nullptr);

  /// Opens the connection. Returns Errc::Timeout, Errc::ConnectionRefused or
  /// Errc::ConnectionLost on failure.
  asio::awaitable<std::error_code> connect(asio::ip::tcp::endpoint Server,
                                           Clock::time_point Deadline);

  /// Sends \p Request and waits for its response. The connection must not be
  /// used again after an error.
  asio::awaitable<ExchangeResult>
  exchange(const HttpMessage &Request, Clock::time_point Deadline,
           CancellationPtr Cancel, ResponseFilter Accepts, ParserLimits Limits);

  /// Whether the connection is open, idle and has received no unsolicited
  /// bytes.
  bool isReusable();
  /// When the server is expected to close the idle connection.
  Clock::time_point idleUntil() const { return this->IdleUntil; }
  void close();
  /// From the end of connect() on, close() discards what was not yet
  /// transmitted, and the connection breaks if its peer does not acknowledge
  /// data for \p MaxUnacknowledged. Otherwise the system goes on to transmit
  /// it after close(), for minutes if the peer is out of reach.
  void discardUnsentOnClose(Clock::duration MaxUnacknowledged) {
    this->MaxUnacknowledged = MaxUnacknowledged;
  }

private:
  asio::io_context &Context;
  ConnectionBudget::SlotPtr Slot;
  asio::ip::tcp::socket Socket;
  std::string Unread;
  Clock::time_point IdleUntil;
  bool Connected = false;
  bool KeepAlive = false;
  std::optional<Clock::duration> MaxUnacknowledged;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_HTTPCONNECTION_H
