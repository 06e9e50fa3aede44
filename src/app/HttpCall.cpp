#include "app/HttpCall.h"

#include "httpclient/HttpClient.h"

#include <asio/co_spawn.hpp>
#include <exception>

namespace rr {

namespace {

// Long enough for confirming a plan, which may wait for the platform's store.
constexpr std::chrono::seconds CallTimeout{30};

} // namespace

Outcome<HttpReply> callHttp(const std::string &Method, const std::string &Url,
                            const HttpHeaders &Headers,
                            const std::string &Body) {
  asio::io_context Context;
  HttpClient Client(Context, 1);
  HttpRequest Request;
  Request.Method = Method;
  Request.Url = Url;
  Request.Headers = Headers;
  Request.Body = Body;
  Request.Timeout = CallTimeout;
  Request.StallTimeout = CallTimeout;
  Request.MaxResponseBytes = 64U << 20;
  HttpResult Result;
  asio::co_spawn(Context, Client.send(std::move(Request)),
                 [&](const std::exception_ptr &Error, HttpResult Value) {
                   if (Error)
                     std::rethrow_exception(Error);
                   Result = std::move(Value);
                 });
  Context.run();
  if (Result.Error)
    return tl::unexpected<std::error_code>(Result.Error);
  return HttpReply{Result.Status, Result.Body};
}

} // namespace rr
