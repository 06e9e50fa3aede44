#ifndef REDWINGRACK_HTTPCLIENT_HTTPCLIENT_H
#define REDWINGRACK_HTTPCLIENT_HTTPCLIENT_H

#include "httpclient/HttpRequest.h"
#include "httpclient/HttpResult.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <memory>

namespace rr {

/// HTTP/1.1 client on the event loop. Reuses connections. Does not resend a
/// request if HttpRequest::AtMostOnce is set.
class HttpClient {
public:
  /// \p HostConnections is the maximum number of connections to one address.
  HttpClient(asio::io_context &Context, long HostConnections);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends the request and waits for the complete response, a time-out or
  /// cancellation.
  asio::awaitable<HttpResult> send(HttpRequest Request);

private:
  class Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace rr

#endif // REDWINGRACK_HTTPCLIENT_HTTPCLIENT_H
