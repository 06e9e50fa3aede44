#ifndef REDWINGRACK_HTTP1_HTTPCONNECTIONPOOL_H
#define REDWINGRACK_HTTP1_HTTPCONNECTIONPOOL_H

#include "base/Cancellation.h"
#include "http1/ConnectionBudget.h"
#include "http1/ExchangeResult.h"
#include "http1/HttpConnection.h"
#include "http1/ParserLimits.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rr {

/// Pool of persistent client connections, by server address.
class HttpConnectionPool {
public:
  struct Call {
    /// Server as IP:PORT.
    std::string Address;
    HttpMessage Request;
    Clock::time_point ConnectDeadline;
    Clock::time_point Deadline;
    /// May be null.
    CancellationPtr Cancel;
    HttpConnection::ResponseFilter Accepts;
    /// Asked once a connection is available, directly before the first byte is
    /// written. False ends the call with Errc::Cancelled, and the request is
    /// known to be unsent. Empty allows every request.
    std::function<bool()> MayWrite;
    /// See HttpConnection::discardUnsentOnClose().
    std::optional<Clock::duration> MaxUnacknowledged;
  };

  /// \p MaxIdlePerAddress limits the idle connections kept for one address.
  HttpConnectionPool(asio::io_context &Context, std::size_t MaxIdlePerAddress,
                     ParserLimits ResponseLimits);

  /// Takes each connection from \p Budget, and keeps at most half of the
  /// guaranteed part of \p Use idle.
  void setBudget(std::shared_ptr<ConnectionBudget> Budget, ConnectionUse Use);

  /// Sends the request on an idle connection, or on a new one. Never sends it
  /// twice: the caller decides about retries. Errc::LimitReached, with the
  /// request unsent, if the budget has no connection left.
  asio::awaitable<ExchangeResult> call(Call Parameters);

  /// Opens a connection to \p Address and closes it. Errors as of
  /// HttpConnection::connect(), and Errc::Malformed.
  asio::awaitable<std::error_code> tryConnect(std::string Address,
                                              Clock::time_point Deadline);

  /// Closes the idle connections to an address.
  void closeIdle(const std::string &Address);
  /// Closes the idle connections whose idle timeout at the server is about to
  /// expire, and those that are no longer usable.
  void closeExpired();
  /// Closes all idle connections.
  void clear();

private:
  /// A connection that is not open yet; null if the budget is used up.
  std::shared_ptr<HttpConnection> makeConnection();
  /// Closes one idle connection. Returns false if there is none.
  bool closeAnyIdle();
  std::shared_ptr<HttpConnection> takeIdle(const std::string &Address);
  void keepIdle(const std::string &Address,
                std::shared_ptr<HttpConnection> Connection);

  asio::io_context &Context;
  std::size_t MaxIdlePerAddress;
  ParserLimits ResponseLimits;
  std::shared_ptr<ConnectionBudget> Budget;
  ConnectionUse Use = ConnectionUse::Servers;
  std::map<std::string, std::vector<std::shared_ptr<HttpConnection>>>
      IdleConnections;
  /// Sum over IdleConnections.
  std::size_t IdleCount = 0;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_HTTPCONNECTIONPOOL_H
