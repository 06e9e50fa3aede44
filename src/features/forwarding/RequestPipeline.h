#ifndef REDWINGRACK_FORWARDING_REQUESTPIPELINE_H
#define REDWINGRACK_FORWARDING_REQUESTPIPELINE_H

#include "forwarding/RequestServices.h"
#include "httpserver/HttpResponse.h"
#include "httpserver/HttpServerRequest.h"
#include "retry/RetryBudget.h"

namespace rr {

class Metrics;
struct Refusal;
class SpanExporter;

/// Processes a caller's request: route lookup, authentication, rate limiting,
/// attempts with retries, and the response.
class RequestPipeline {
public:
  /// \p Counters and \p Spans must outlive the pipeline; Spans may be null.
  RequestPipeline(RequestServices Services, Metrics &Counters,
                  SpanExporter *Spans);

  /// Handles one request. Invalid requests get an error response and never
  /// cause an exception.
  asio::awaitable<HttpResponse> handle(HttpServerRequest Request);

private:
  asio::awaitable<HttpResponse> serve(const HttpServerRequest &Request,
                                      std::string &RouteName,
                                      std::string &Workspace);
  asio::awaitable<HttpResponse> runWithClaim(DispatchRequest Outgoing);
  asio::awaitable<DispatchResult> runWithRetries(DispatchRequest Outgoing,
                                                 bool HasClaim);
  HttpResponse refuse(const Refusal &Error);

  RequestServices Services;
  Metrics &Counters;
  SpanExporter *Spans;
  RetryBudget Retries;
};

} // namespace rr

#endif // REDWINGRACK_FORWARDING_REQUESTPIPELINE_H
