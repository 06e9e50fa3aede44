#ifndef REDWINGRACK_HTTP1_HTTPSERVER_H
#define REDWINGRACK_HTTP1_HTTPSERVER_H

#include "base/Cancellation.h"
#include "base/Outcome.h"
#include "http1/CallerCounters.h"
#include "http1/ConnectionBudget.h"
#include "http1/HttpMessage.h"
#include "http1/HttpServerLimits.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rr {

/// HTTP/1.1 server with one HttpSession per connection. Unacceptable requests
/// get 400, 408, 413, 431 or 503, and their connection is closed. When a client
/// disconnects, its running requests are cancelled. At the connection limit the
/// longest idle connections are closed; if there are none, new connections are
/// answered with 503.
class HttpServer {
public:
  using Handler =
      std::function<asio::awaitable<HttpMessage>(HttpMessage, CancellationPtr)>;

  using Predicate = std::function<bool(const HttpMessage &)>;

  HttpServer(asio::io_context &Context, Handler RequestHandler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens on IP:PORT. Errc::Malformed when \p Address is not of that form,
  /// Errc::Unavailable when it cannot be bound.
  Outcome<void> listen(const std::string &Address);
  std::uint16_t port() const;

  void setLimits(const HttpServerLimits &Limits);
  /// Takes each connection from \p Budget, in addition to
  /// HttpServerLimits::MaxConnections.
  void setBudget(std::shared_ptr<ConnectionBudget> Budget, ConnectionUse Use);
  /// Sets a function that returns a connection of another use to the budget;
  /// false if there is none. It is asked when this server has no idle
  /// connection to close.
  void setRoomMaker(std::function<bool()> Function);
  /// Closes the longest idle connection, unless it may be about to carry a
  /// request. Returns false if there is none.
  bool closeLongestIdle();
  /// Sets which pipelined requests may run concurrently with earlier requests
  /// of their connection. By default none may.
  void setPipelineFilter(Predicate Allowed);
  /// Sets which requests are refused before their body is read, by the reply
  /// that is returned. Asked when the header is complete and in checkUploads().
  void setUploadFilter(
      std::function<std::optional<HttpMessage>(const HttpMessage &)> Refuse);
  /// Asks the filter again about the requests whose body is being read.
  void checkUploads();
  /// Answers the requests that are still being read with \p Refusal and closes
  /// their connections.
  void refuseReads(const HttpMessage &Refusal);
  /// Closes each connection after the responses to its running requests, and
  /// announces it with "Connection: close".
  void closeAfterResponses();
  /// Stops accepting connections. Open connections are still served.
  void stopAccepting();
  /// Closes the connections that have no request in progress.
  void closeIdle();

  std::size_t connections() const;
  /// Number of connections with a request that is being read or has not been
  /// answered yet.
  std::size_t activeRequests() const;
  const CallerCounters &counters() const;

private:
  struct State;
  std::shared_ptr<State> Core;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_HTTPSERVER_H
