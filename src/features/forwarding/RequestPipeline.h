#ifndef REDWINGRACK_FORWARDING_REQUESTPIPELINE_H
#define REDWINGRACK_FORWARDING_REQUESTPIPELINE_H

#include "forwarding/RequestServices.h"
#include "httpserver/HttpResponse.h"
#include "httpserver/HttpServerRequest.h"

namespace rr {

class Metrics;
class SpanExporter;

/// The path of a caller's request: route, key, rate, attempts, answer.
class RequestPipeline {
public:
  /// \p Counters and \p Spans must outlive the pipeline; Spans may be null.
  RequestPipeline(RequestServices Services, Metrics &Counters,
                  SpanExporter *Spans);

  /// Answers one request. Never throws for what a caller sends.
  asio::awaitable<HttpResponse> handle(HttpServerRequest Request);

private:
  asio::awaitable<HttpResponse> serve(const HttpServerRequest &Request,
                                      std::string &RouteName,
                                      std::string &Workspace);

  RequestServices Services;
  Metrics &Counters;
  SpanExporter *Spans;
};

} // namespace rr

#endif // REDWINGRACK_FORWARDING_REQUESTPIPELINE_H
