#ifndef REDWINGRACK_HTTPSERVER_HTTPLISTENER_H
#define REDWINGRACK_HTTPSERVER_HTTPLISTENER_H

#include "httpserver/HttpResponse.h"
#include "httpserver/HttpServerRequest.h"
#include "httpserver/ListenerSettings.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace rr {

/// HTTP/1.1 listener on the event loop. Runs one coroutine per request.
class HttpListener {
public:
  using Handler =
      std::function<asio::awaitable<HttpResponse>(HttpServerRequest Request)>;

  /// Starts listening. Throws std::exception if the address cannot be bound.
  HttpListener(asio::io_context &Context, const ListenerSettings &Settings,
               Handler Handle);
  ~HttpListener();
  HttpListener(const HttpListener &) = delete;
  HttpListener &operator=(const HttpListener &) = delete;

  /// Stops accepting connections and closes the open ones.
  void close();
  /// Closes each connection after its next response.
  void closeAfterResponse();
  /// Number of requests that have not been answered yet.
  std::size_t runningRequests() const;
  /// Port that the listener is bound to; chosen by the system if the setting is
  /// 0.
  std::uint16_t port() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace rr

#endif // REDWINGRACK_HTTPSERVER_HTTPLISTENER_H
