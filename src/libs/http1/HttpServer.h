#ifndef REDWINGRACK_HTTP1_HTTPSERVER_H
#define REDWINGRACK_HTTP1_HTTPSERVER_H

#include "base/Cancellation.h"
#include "base/Outcome.h"
#include "http1/HttpMessage.h"
#include "http1/ServerLimits.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace rr {

/// HTTP/1.1 server with one HttpSession a connection. Malformed requests are
/// answered with 400, 408, 413 or 431 and a close; a client that leaves
/// cancels its requests.
class HttpServer {
public:
  using Handler =
      std::function<asio::awaitable<HttpMessage>(HttpMessage, CancellationPtr)>;

  using Predicate = std::function<bool(const HttpMessage &)>;

  HttpServer(asio::io_context &Context, Handler RequestHandler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens at IP:PORT. Errc::Malformed for an unusable address,
  /// Errc::Unavailable when it cannot be bound.
  Outcome<void> listen(const std::string &Address);
  std::uint16_t port() const;

  void setLimits(const ServerLimits &Limits);
  /// Requests that may run while earlier ones of their connection run; none
  /// before this is set.
  void setPipelineFilter(Predicate Allowed);
  /// Every further answer announces that its connection ends.
  void closeAfterResponses();
  /// Stops accepting; open connections go on.
  void stopAccepting();
  /// Closes the connections that carry no request.
  void closeIdle();

  std::size_t connections() const;
  /// Connections with a request that is being read or has no answer yet.
  std::size_t activeRequests() const;

private:
  struct State;
  std::shared_ptr<State> Core;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_HTTPSERVER_H
