#ifndef REDWINGRACK_STANDINS_PLATFORMSTANDIN_H
#define REDWINGRACK_STANDINS_PLATFORMSTANDIN_H

#include "httpserver/HttpListener.h"
#include "testing/FakePlatform.h"

namespace rr {

/// The platform's table, objects and instance list behind HTTP, kept in
/// memory. Its faults are set with PUT /control.
class PlatformStandin {
public:
  PlatformStandin(asio::io_context &Context, const ListenerSettings &Address);

  std::uint16_t port() const { return this->Listener.port(); }

private:
  asio::awaitable<HttpResponse> handle(HttpServerRequest Request);
  asio::awaitable<HttpResponse> handleRows(const HttpServerRequest &Request);
  asio::awaitable<HttpResponse> handleObjects(const HttpServerRequest &Request);
  asio::awaitable<HttpResponse>
  handleInstances(const HttpServerRequest &Request);
  asio::awaitable<HttpResponse> handleCommit(const HttpServerRequest &Request);
  HttpResponse handleControl(const HttpServerRequest &Request);

  FakePlatform Store;
  Platform Calls;
  HttpListener Listener;
};

} // namespace rr

#endif // REDWINGRACK_STANDINS_PLATFORMSTANDIN_H
