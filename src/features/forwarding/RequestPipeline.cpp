#include "forwarding/RequestPipeline.h"

#include "base/Digest.h"
#include "forwarding/HeaderRules.h"
#include "forwarding/KeyScrubber.h"
#include "forwarding/Refusal.h"
#include "logging/EventLog.h"
#include "model/FleetConfig.h"
#include "telemetry/Metrics.h"
#include "telemetry/SpanExporter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace rr {

namespace {

constexpr std::chrono::seconds ShortRetryAfter{1};
constexpr const char *TimeoutHeader = "X-Request-Timeout-Ms";

Refusal notRun(int Status, std::string Reason, std::string Detail,
               std::chrono::seconds RetryAfter = std::chrono::seconds(0)) {
  return {Status, Execution::NotRun, std::move(Reason), std::move(Detail),
          RetryAfter};
}

Refusal keyRefusal(KeyDecision::Kind Kind) {
  switch (Kind) {
  case KeyDecision::Kind::Withdrawn:
    return notRun(401, "key_withdrawn", "the key was withdrawn");
  case KeyDecision::Kind::Stale:
    return notRun(503, "key_view_stale",
                  "this instance cannot confirm that its keys are current; "
                  "try another instance",
                  ShortRetryAfter);
  default:
    return notRun(401, "key_unknown", "a valid key is needed");
  }
}

Refusal admissionRefusal(const std::error_code &Error) {
  if (Error == Errc::Stale)
    return keyRefusal(KeyDecision::Kind::Stale);
  return notRun(429, "rate_exceeded", "the workspace's rate is used up",
                ShortRetryAfter);
}

// The shorter of the route's time and the time that the caller asks for.
std::chrono::milliseconds timeoutOf(const HttpServerRequest &Request,
                                    const Route &Taken) {
  const std::string *Text = findHeader(Request.Headers, TimeoutHeader);
  if (!Text)
    return Taken.Timeout;
  std::int64_t Asked = 0;
  const auto Read =
      std::from_chars(Text->data(), Text->data() + Text->size(), Asked);
  if (Read.ec != std::errc() || Asked <= 0)
    return Taken.Timeout;
  return std::min(Taken.Timeout, std::chrono::milliseconds(Asked));
}

HttpResponse answerOf(const DispatchResult &Result) {
  HttpResponse Response;
  Response.Status = Result.Status;
  Response.Headers = headersForCaller(Result.Headers);
  Response.Body = Result.Body;
  return Response;
}

Refusal refusalOf(const DispatchResult &Result) {
  const bool NotRun = Result.Outcome == Execution::NotRun;
  return {NotRun ? 503 : 502, Result.Outcome, Result.Reason,
          NotRun ? "no backend server has run the request"
                 : "a backend server may have run the request",
          Result.RetryAfter};
}

} // namespace

RequestPipeline::RequestPipeline(RequestServices Services, Metrics &Counters,
                                 SpanExporter *Spans)
    : Services(std::move(Services)), Counters(Counters), Spans(Spans) {}

asio::awaitable<HttpResponse>
RequestPipeline::handle(HttpServerRequest Request) {
  const Clock::time_point Start = Clock::now();
  std::string RouteName;
  std::string Workspace;
  HttpResponse Response = co_await this->serve(Request, RouteName, Workspace);
  this->Counters.add(Metric::Requests,
                     {{"workspace", Workspace},
                      {"route", RouteName},
                      {"status", std::to_string(Response.Status)}});
  this->Counters.observe(Metric::RequestSeconds, {{"route", RouteName}},
                         Clock::now() - Start);
  co_return Response;
}

asio::awaitable<HttpResponse>
RequestPipeline::serve(const HttpServerRequest &Request, std::string &RouteName,
                       std::string &Workspace) {
  const std::string *TraceParent = findHeader(Request.Headers, "traceparent");
  const auto Caller = parseTraceParent(TraceParent ? *TraceParent : "");
  SpanScope Span(this->Spans, "request", Caller ? &*Caller : nullptr);
  const auto Refuse = [&](const Refusal &Why) {
    this->Counters.add(
        Metric::Refusals,
        {{"reason", Why.Reason}, {"outcome", executionName(Why.Outcome)}});
    Span.set("reason", Why.Reason);
    Span.fail();
    return refusalResponse(Why);
  };

  const auto Config = this->Services.Config();
  const Route *Taken =
      Config ? findRoute(*Config, Request.Method, Request.Path) : nullptr;
  if (!Config)
    co_return Refuse(notRun(503, "no_configuration",
                            "this instance has no configuration yet",
                            ShortRetryAfter));
  if (!Taken)
    co_return Refuse(notRun(404, "no_route", "no route takes this request"));
  RouteName = Taken->Name;
  const Clock::time_point Deadline = Clock::now() + timeoutOf(Request, *Taken);

  const std::string Key = bearerKey(Request.Headers);
  if (!Taken->Open) {
    const KeyDecision Decision = this->Services.Authenticate(Key);
    if (Decision.Result != KeyDecision::Kind::Accepted)
      co_return Refuse(keyRefusal(Decision.Result));
    Workspace = Decision.Workspace;
  }

  DispatchRequest Next;
  Next.Headers = headersForServer(Request.Headers);
  const KeyScrubber Scrubber{[&](const std::string &Text) {
    return this->Services.Authenticate(Text).Result ==
           KeyDecision::Kind::Accepted;
  }};
  if (carriesKey(Scrubber, Request.Path, Next.Headers, Request.Body, Key))
    co_return Refuse(notRun(400, "key_in_request",
                            "the key may stand in the Authorization header "
                            "only"));
  const std::string Query = queryForServer(Scrubber, Request.Query, Key);

  if (!Taken->Open) {
    const auto Admitted = co_await this->Services.Admit(Workspace, Deadline);
    if (!Admitted)
      co_return Refuse(admissionRefusal(Admitted.error()));
  }

  Next.Service = Taken->Service;
  Next.Route = Taken->Name;
  Next.Workspace = Workspace;
  Next.Method = Request.Method;
  Next.Target = Query.empty() ? Request.Path : Request.Path + "?" + Query;
  Next.Body = Request.Body;
  Next.Deadline = Deadline;
  Next.Trace = Span.context();
  Next.Cancel = Request.Cancel;
  const DispatchResult Result = co_await this->Services.Dispatch(Next);
  Span.set("server", Result.Server);
  if (!Result.Answered)
    co_return Refuse(refusalOf(Result));
  co_return answerOf(Result);
}

} // namespace rr
