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

/// HTTP/1.1 listener on the event loop. Runs one coroutine for each request.
class HttpListener {
public:
  using Handler =
      std::function<asio::awaitable<HttpResponse>(HttpServerRequest Request)>;

  /// Opens the listener. Throws std::exception when the address cannot be
  /// used.
  HttpListener(asio::io_context &Context, const ListenerSettings &Settings,
               Handler Handle);
  ~HttpListener();
  HttpListener(const HttpListener &) = delete;
  HttpListener &operator=(const HttpListener &) = delete;

  /// Stops accepting and closes the connections.
  void close();
  /// The next answer on each connection is its last.
  void closeAfterResponse();
  /// Requests that have not been answered yet.
  std::size_t runningRequests() const;
  /// Port in use; differs from the setting when that is 0.
  std::uint16_t port() const;

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace rr

#endif // REDWINGRACK_HTTPSERVER_HTTPLISTENER_H
