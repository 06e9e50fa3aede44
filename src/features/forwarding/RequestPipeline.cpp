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
  if (Result.Reason == "request_blocked")
    return notRun(422, Result.Reason,
                  "this request crashed two backend servers and is refused "
                  "for a while");
  const bool NotRun = Result.Outcome == Execution::NotRun;
  return {NotRun ? 503 : 502, Result.Outcome, Result.Reason,
          NotRun ? "no backend server has run the request"
                 : "a backend server may have run the request",
          Result.RetryAfter};
}

Refusal claimRefusal(ClaimResult::Kind Kind) {
  switch (Kind) {
  case ClaimResult::Kind::Unknown:
    return {409, Execution::Unknown, "order_outcome_unknown",
            "a request with this Idempotency-Key was begun and its outcome is "
            "not recorded",
            ShortRetryAfter};
  case ClaimResult::Kind::OtherRequest:
    return notRun(422, "idempotency_key_reused",
                  "the Idempotency-Key was used for another request");
  default:
    return notRun(503, "store_unavailable",
                  "the Idempotency-Key cannot be claimed now", ShortRetryAfter);
  }
}

HttpResponse replayOf(const RecordedAnswer &Answer) {
  HttpResponse Response;
  Response.Status = Answer.Status;
  for (const auto &[Name, Value] : Answer.Headers)
    Response.Headers.push_back({Name, Value});
  Response.Headers.push_back({"Idempotent-Replayed", "true"});
  Response.Body = Answer.Body;
  return Response;
}

RecordedAnswer recordOf(const HttpResponse &Response) {
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
  const auto Caller = parseTraceParent(TraceParent ? *TraceParent : "");
  SpanScope Span(this->Spans, "request", Caller ? &*Caller : nullptr);
  const auto Refuse = [&](const Refusal &Why) {
    Span.set("reason", Why.Reason);
    Span.fail();
    return this->refuse(Why);
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
  const KeyScrubber Scrubber{this->Services.IsKey};
  if (carriesKey(Scrubber, Request.Path, Next.Headers, Request.Body, Key))
    co_return Refuse(notRun(400, "key_in_request",
                            "the key may stand in the Authorization header "
                            "only"));
  const std::string Query = queryForServer(Scrubber, Request.Query, Key);

  if (!Taken->Open) {
    SpanScope Admission(this->Spans, "admission", &Span.context());
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
  Next.MayRetry = isIdempotentMethod(Request.Method);
  Next.Fingerprint =
      requestFingerprint(Workspace, Request.Method, Request.Path, Request.Body);
  if (!Taken->Open)
    Next.MayStillRun = [this, Key] {
      return this->Services.Authenticate(Key).Result ==
             KeyDecision::Kind::Accepted;
    };
  this->Retries.addRequest();
  if (this->Services.OnAdmitted)
    this->Services.OnAdmitted(Next);
  const bool HasKey =
      findHeader(Request.Headers, "Idempotency-Key") && !Workspace.empty();
  if (HasKey && this->Services.Claims)
    co_return co_await this->runClaimed(std::move(Next));
  const DispatchResult Result =
      co_await this->runWithRetries(std::move(Next), false);
  Span.set("server", Result.Server);
  if (!Result.Answered)
    co_return Refuse(refusalOf(Result));
  co_return answerOf(Result);
}

HttpResponse RequestPipeline::refuse(const Refusal &Why) {
  this->Counters.add(
      Metric::Refusals,
      {{"reason", Why.Reason}, {"outcome", executionName(Why.Outcome)}});
  logEvent(Why.Outcome == Execution::NotRun ? Event::RequestRefused
                                            : Event::RequestFailed,
           {{"reason", Why.Reason}});
  return refusalResponse(Why);
}

asio::awaitable<HttpResponse>
RequestPipeline::runClaimed(DispatchRequest Next) {
  const std::string OrderKey = *findHeader(Next.Headers, "Idempotency-Key");
  const std::string Digest =
      ClaimStore::requestDigest(Next.Method, Next.Target, Next.Body);
  ClaimStore &Claims = *this->Services.Claims;
  const ClaimResult Claimed =
      co_await Claims.claim(Next.Workspace, OrderKey, Digest);
  if (Claimed.Action == ClaimResult::Kind::Replay)
    co_return replayOf(Claimed.Answer);
  if (Claimed.Action != ClaimResult::Kind::Run)
    co_return this->refuse(claimRefusal(Claimed.Action));
  const DispatchResult Result =
      co_await this->runWithRetries(std::move(Next), true);
  if (!Result.Answered) {
    if (Result.Outcome == Execution::NotRun)
      co_await Claims.release(Claimed.Held);
    co_return this->refuse(refusalOf(Result));
  }
  HttpResponse Response = answerOf(Result);
  RecordedAnswer Record = recordOf(Response);
  // A repeat gets `unknown` when the outcome cannot be recorded.
  co_await Claims.recordAnswer(Claimed.Held, std::move(Record));
  co_return Response;
}

asio::awaitable<DispatchResult>
RequestPipeline::runWithRetries(DispatchRequest Next, bool HasClaim) {
  AttemptHistory History;
  History.IdempotentMethod = Next.MayRetry;
  History.HasIdempotencyKey = HasClaim;
  History.Deadline = Next.Deadline;
  for (;;) {
    DispatchResult Result = co_await this->Services.Dispatch(Next);
    const bool Gone = Next.Cancel && Next.Cancel->isCancelled();
    if (Result.Answered || Gone || Result.Reason == "request_blocked")
      co_return Result;
    History.MayHaveBeenSent =
        History.MayHaveBeenSent || Result.Outcome == Execution::Unknown;
    History.Suspect =
        this->Services.IsSuspect && this->Services.IsSuspect(Next.Fingerprint);
    const RetryDecision Decision =
        decideRetry(History, this->Retries, Clock::now());
    if (Decision != RetryDecision::Retry) {
      // An earlier attempt may have run although the last one did not.
      Result.Outcome = Decision == RetryDecision::RefuseNotRun
                           ? Execution::NotRun
                           : Execution::Unknown;
      co_return Result;
    }
    ++History.Attempts;
    this->Counters.add(Metric::Retries, {{"route", Next.Route}});
    if (!Result.Server.empty())
      Next.TriedServers.push_back(Result.Server);
  }
}

} // namespace rr
