#ifndef REDWINGRACK_HTTP1_HTTPCONNECTIONPOOL_H
#define REDWINGRACK_HTTP1_HTTPCONNECTIONPOOL_H

#include "base/Cancellation.h"
#include "http1/ExchangeResult.h"
#include "http1/HttpConnection.h"
#include "http1/ParserLimits.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rr {

/// Kept connections to servers, by address.
class HttpConnectionPool {
public:
  struct Call {
    /// IP:PORT.
    std::string Address;
    HttpMessage Request;
    Clock::time_point ConnectDeadline;
    Clock::time_point Deadline;
    /// May be null.
    CancellationPtr Cancel;
    HttpConnection::ResponseFilter Accepts;
  };

  /// \p MaxIdlePerAddress bounds the idle connections to one address.
  HttpConnectionPool(asio::io_context &Context, std::size_t MaxIdlePerAddress,
                     ParserLimits ResponseLimits);

  /// Sends the request on a kept connection, or on a new one. Never sends it
  /// twice.
  asio::awaitable<ExchangeResult> call(Call Parameters);

  /// Ends the idle connections to an address.
  void closeIdle(const std::string &Address);
  /// Ends the idle connections that their server closes soon.
  void closeExpired();
  /// Ends all idle connections.
  void clear() { this->IdleConnections.clear(); }

private:
  std::shared_ptr<HttpConnection> takeIdle(const std::string &Address);

  asio::io_context &Context;
  std::size_t MaxIdlePerAddress;
  ParserLimits ResponseLimits;
  std::map<std::string, std::vector<std::shared_ptr<HttpConnection>>>
      IdleConnections;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_HTTPCONNECTIONPOOL_H
