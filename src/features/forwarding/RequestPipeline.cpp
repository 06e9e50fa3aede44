#include "forwarding/RequestPipeline.h"

#include "base/Digest.h"
#include "forwarding/HeaderRules.h"
#include "forwarding/KeyScrubber.h"
#include "forwarding/Refusal.h"
#include "idempotency/ClaimStore.h"
#include "logging/EventLog.h"
#include "model/FleetConfig.h"
#include "quarantine/Fingerprint.h"
#include "retry/RetryRule.h"
#include "telemetry/Metrics.h"
#include "telemetry/SpanExporter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace rr {

namespace {

constexpr std::chrono::seconds DefaultRetryAfter{1};
constexpr const char *TimeoutHeader = "X-Request-Timeout-Ms";

Refusal
notRunRefusal(int Status, std::string Reason, std::string Detail,
              std::chrono::seconds RetryAfter = std::chrono::seconds(0)) {
  return {Status, Execution::NotRun, std::move(Reason), std::move(Detail),
          RetryAfter};
}

Refusal keyRefusal(KeyDecision::Kind Kind) {
  switch (Kind) {
  case KeyDecision::Kind::Withdrawn:
    return notRunRefusal(401, "key_withdrawn", "the key was withdrawn");
  case KeyDecision::Kind::Stale:
    return notRunRefusal(
        503, "key_view_stale",
        "this instance cannot confirm that its keys are current; "
        "try another instance",
        DefaultRetryAfter);
  default:
    return notRunRefusal(401, "key_unknown", "a valid API key is required");
  }
}

Refusal admissionRefusal(const std::error_code &Error) {
  if (Error == Errc::Stale)
    return keyRefusal(KeyDecision::Kind::Stale);
  return notRunRefusal(429, "rate_exceeded",
                       "the workspace's rate limit is exceeded",
                       DefaultRetryAfter);
}

// The smaller of the route's timeout and the timeout that the caller requests.
std::chrono::milliseconds effectiveTimeout(const HttpServerRequest &Request,
                                           const Route &MatchedRoute) {
  const std::string *Text = findHeader(Request.Headers, TimeoutHeader);
  if (!Text)
    return MatchedRoute.Timeout;
  std::int64_t RequestedMs = 0;
  const auto Parsed =
      std::from_chars(Text->data(), Text->data() + Text->size(), RequestedMs);
  if (Parsed.ec != std::errc() || RequestedMs <= 0)
    return MatchedRoute.Timeout;
  return std::min(MatchedRoute.Timeout, std::chrono::milliseconds(RequestedMs));
}

HttpResponse makeResponse(const DispatchResult &Result) {
  HttpResponse Response;
  Response.Status = Result.Status;
  Response.Headers = headersForCaller(Result.Headers);
  Response.Body = Result.Body;
  return Response;
}

Refusal dispatchRefusal(const DispatchResult &Result) {
  if (Result.Reason == "request_blocked")
    return notRunRefusal(
        422, Result.Reason,
        "this request crashed two backend servers and is refused "
        "for a while");
  const bool NotRun = Result.Outcome == Execution::NotRun;
  return {NotRun ? 503 : 502, Result.Outcome, Result.Reason,
          NotRun ? "no backend server has executed the request"
                 : "a backend server may have executed the request",
          Result.RetryAfter};
}

Refusal claimRefusal(ClaimResult::Kind Kind) {
  switch (Kind) {
  case ClaimResult::Kind::Unknown:
    return {409, Execution::Unknown, "order_outcome_unknown",
            "a request with this Idempotency-Key was begun and its outcome is "
            "not recorded",
            DefaultRetryAfter};
  case ClaimResult::Kind::OtherRequest:
    return notRunRefusal(422, "idempotency_key_reused",
                         "the Idempotency-Key was used for another request");
  default:
    return notRunRefusal(503, "store_unavailable",
                         "the Idempotency-Key cannot be claimed now",
                         DefaultRetryAfter);
  }
}

HttpResponse replayedResponse(const RecordedAnswer &Answer) {
  HttpResponse Response;
  Response.Status = Answer.Status;
  for (const auto &[Name, Value] : Answer.Headers)
    Response.Headers.push_back({Name, Value});
  Response.Headers.push_back({"Idempotent-Replayed", "true"});
  Response.Body = Answer.Body;
  return Response;
}

RecordedAnswer makeRecord(const HttpResponse &Response) {
  RecordedAnswer Result;
  Result.Status = Response.Status;
  for (const HttpHeader &Field : Response.Headers)
    Result.Headers.emplace_back(Field.Name, Field.Value);
  Result.Body = Response.Body;
  return Result;
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
  const auto CallerTrace = parseTraceParent(TraceParent ? *TraceParent : "");
  SpanScope Span(this->Spans, "request", CallerTrace ? &*CallerTrace : nullptr);
  const auto Refuse = [&](const Refusal &Error) {
    Span.set("reason", Error.Reason);
    Span.fail();
    return this->refuse(Error);
  };

  const auto Config = this->Services.Config();
  const Route *MatchedRoute =
      Config ? findRoute(*Config, Request.Method, Request.Path) : nullptr;
  if (!Config)
    co_return Refuse(notRunRefusal(503, "no_configuration",
                                   "this instance has no configuration yet",
                                   DefaultRetryAfter));
  if (!MatchedRoute)
    co_return Refuse(
        notRunRefusal(404, "no_route", "no route matches this request"));
  RouteName = MatchedRoute->Name;
  const Clock::time_point Deadline =
      Clock::now() + effectiveTimeout(Request, *MatchedRoute);

  const std::string Key = bearerKey(Request.Headers);
  if (!MatchedRoute->Open) {
    const KeyDecision Decision = this->Services.Authenticate(Key);
    if (Decision.Result != KeyDecision::Kind::Accepted)
      co_return Refuse(keyRefusal(Decision.Result));
    Workspace = Decision.Workspace;
  }

  DispatchRequest Outgoing;
  Outgoing.Headers = headersForServer(Request.Headers);
  const KeyScrubber Scrubber{this->Services.IsIssuedKey};
  if (containsKey(Scrubber, Request.Path, Outgoing.Headers, Request.Body, Key))
    co_return Refuse(
        notRunRefusal(400, "key_in_request",
                      "the API key is allowed in the Authorization header "
                      "only"));
  const std::string Query = scrubQuery(Scrubber, Request.Query, Key);

  if (!MatchedRoute->Open) {
    SpanScope Admission(this->Spans, "admission", &Span.context());
    const auto Admitted = co_await this->Services.Admit(Workspace, Deadline);
    if (!Admitted)
      co_return Refuse(admissionRefusal(Admitted.error()));
  }

  Outgoing.Service = MatchedRoute->Service;
  Outgoing.Route = MatchedRoute->Name;
  Outgoing.Workspace = Workspace;
  Outgoing.Method = Request.Method;
  Outgoing.Target = Query.empty() ? Request.Path : Request.Path + "?" + Query;
  Outgoing.Body = Request.Body;
  Outgoing.Deadline = Deadline;
  Outgoing.Trace = Span.context();
  Outgoing.Cancel = Request.Cancel;
  Outgoing.MayRetry = isIdempotentMethod(Request.Method);
  Outgoing.Fingerprint =
      requestFingerprint(Workspace, Request.Method, Request.Path, Request.Body);
  if (!MatchedRoute->Open)
    Outgoing.IsStillAuthorized = [this, Key] {
      return this->Services.Authenticate(Key).Result ==
             KeyDecision::Kind::Accepted;
    };
  this->Retries.addRequest();
  if (this->Services.OnAdmitted)
    this->Services.OnAdmitted(Outgoing);
  const bool HasIdempotencyKey =
      findHeader(Request.Headers, "Idempotency-Key") && !Workspace.empty();
  if (HasIdempotencyKey && this->Services.Claims)
    co_return co_await this->runWithClaim(std::move(Outgoing));
  const DispatchResult Result =
      co_await this->runWithRetries(std::move(Outgoing), false);
  Span.set("server", Result.Server);
  if (!Result.Answered)
    co_return Refuse(dispatchRefusal(Result));
  co_return makeResponse(Result);
}

HttpResponse RequestPipeline::refuse(const Refusal &Error) {
  this->Counters.add(
      Metric::Refusals,
      {{"reason", Error.Reason}, {"outcome", executionName(Error.Outcome)}});
  logEvent(Error.Outcome == Execution::NotRun ? Event::RequestRefused
                                              : Event::RequestFailed,
           {{"reason", Error.Reason}});
  return refusalResponse(Error);
}

asio::awaitable<HttpResponse>
RequestPipeline::runWithClaim(DispatchRequest Outgoing) {
  const std::string IdempotencyKey =
      *findHeader(Outgoing.Headers, "Idempotency-Key");
  const std::string Digest = ClaimStore::requestDigest(
      Outgoing.Method, Outgoing.Target, Outgoing.Body);
  ClaimStore &Claims = *this->Services.Claims;
  const ClaimResult Claimed =
      co_await Claims.claim(Outgoing.Workspace, IdempotencyKey, Digest);
  if (Claimed.Action == ClaimResult::Kind::Replay)
    co_return replayedResponse(Claimed.Answer);
  if (Claimed.Action != ClaimResult::Kind::Run)
    co_return this->refuse(claimRefusal(Claimed.Action));
  const DispatchResult Result =
      co_await this->runWithRetries(std::move(Outgoing), true);
  if (!Result.Answered) {
    if (Result.Outcome == Execution::NotRun)
      co_await Claims.release(Claimed.Held);
    co_return this->refuse(dispatchRefusal(Result));
  }
  HttpResponse Response = makeResponse(Result);
  RecordedAnswer Record = makeRecord(Response);
  // If the outcome cannot be recorded, a repeated request gets `unknown`.
  co_await Claims.recordAnswer(Claimed.Held, std::move(Record));
  co_return Response;
}

asio::awaitable<DispatchResult>
RequestPipeline::runWithRetries(DispatchRequest Outgoing, bool HasClaim) {
  AttemptHistory History;
  History.IdempotentMethod = Outgoing.MayRetry;
  History.HasIdempotencyKey = HasClaim;
  History.Deadline = Outgoing.Deadline;
  for (;;) {
    DispatchResult Result = co_await this->Services.Dispatch(Outgoing);
    const bool Cancelled = Outgoing.Cancel && Outgoing.Cancel->isCancelled();
    if (Result.Answered || Cancelled || Result.Reason == "request_blocked")
      co_return Result;
    History.MayHaveBeenSent =
        History.MayHaveBeenSent || Result.Outcome == Execution::Unknown;
    History.Suspect = this->Services.IsSuspect &&
                      this->Services.IsSuspect(Outgoing.Fingerprint);
    const RetryDecision Decision =
        decideRetry(History, this->Retries, Clock::now());
    if (Decision != RetryDecision::Retry) {
      // An earlier attempt may have been executed even if the last one was not.
      Result.Outcome = Decision == RetryDecision::RefuseNotRun
                           ? Execution::NotRun
                           : Execution::Unknown;
      co_return Result;
    }
    ++History.Attempts;
    this->Counters.add(Metric::Retries, {{"route", Outgoing.Route}});
    if (!Result.Server.empty())
      Outgoing.TriedServers.push_back(Result.Server);
  }
}

} // namespace rr
