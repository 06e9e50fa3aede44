#include "forwarding/ServerAttempt.h"

#include "base/Errc.h"
#include "httpclient/HttpClient.h"
#include "logging/EventLog.h"
#include "model/BackendServer.h"
#include "telemetry/SpanExporter.h"

#include <algorithm>
#include <utility>

namespace rr {

namespace {

constexpr std::chrono::milliseconds MaxConnectTimeout{2000};

std::chrono::milliseconds remainingTime(Clock::time_point Deadline) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Deadline -
                                                               Clock::now());
}

HttpRequest makeHttpRequest(const BackendServer &Server,
                            DispatchRequest &Request, const TraceContext &Trace,
                            std::size_t MaxResponseBytes) {
  const auto Remaining = remainingTime(Request.Deadline);
  HttpRequest Result;
  Result.Method = Request.Method;
  Result.Url = "http://" + Server.Address + Request.Target;
  Result.Headers = std::move(Request.Headers);
  Result.Headers.push_back({"traceparent", formatTraceParent(Trace)});
  Result.Headers.push_back(
      {"X-Request-Timeout-Ms", std::to_string(Remaining.count())});
  if (!Request.Workspace.empty())
    Result.Headers.push_back({"X-Workspace", Request.Workspace});
  Result.Body = std::move(Request.Body);
  Result.ConnectTimeout = std::min(MaxConnectTimeout, Remaining);
  Result.Timeout = Remaining;
  Result.MaxResponseBytes = MaxResponseBytes;
  Result.Cancel = Request.Cancel;
  return Result;
}

const char *failureReason(const HttpResult &Result) {
  if (!Result.MayHaveBeenSent)
    return "server_unreachable";
  if (Result.Error == Errc::Timeout)
    return "server_timeout";
  if (Result.Error == Errc::TooLarge)
    return "answer_too_large";
  if (Result.Error == Errc::Cancelled)
    return "cancelled";
  if (Result.Error == Errc::Malformed)
    return "answer_malformed";
  return "connection_lost";
}

} // namespace

asio::awaitable<DispatchResult>
sendToServer(HttpClient &Client, SpanExporter *Spans, BackendServer Server,
             DispatchRequest Request, std::size_t MaxResponseBytes) {
  SpanScope Span(Spans, "attempt", &Request.Trace);
  Span.set("server", Server.Name);
  Span.set("version", Server.Version);
  DispatchResult Result;
  Result.Server = Server.Name;
  Result.Version = Server.Version;
  if (remainingTime(Request.Deadline).count() < 1) {
    Result.Reason = "deadline_passed";
    co_return Result;
  }
  HttpRequest Outgoing =
      makeHttpRequest(Server, Request, Span.context(), MaxResponseBytes);
  HttpResult Response = co_await Client.send(std::move(Outgoing));
  if (!Response.Error) {
    Result.Answered = true;
    Result.Status = Response.Status;
    Result.Headers = std::move(Response.Headers);
    Result.Body = std::move(Response.Body);
    Span.set("status", std::to_string(Result.Status));
    co_return Result;
  }
  Span.fail();
  Result.Reason = failureReason(Response);
  if (Response.Fault != MessageFault::None)
    logEvent(Event::AnswerMalformed,
             {{"request", formatTraceParent(Request.Trace)},
              {"server", Server.Name},
              {"reason", messageFaultName(Response.Fault)}});
  Result.Outcome =
      Response.MayHaveBeenSent ? Execution::Unknown : Execution::NotRun;
  Result.ConnectionEnded =
      Response.MayHaveBeenSent && Response.Error == Errc::ConnectionLost;
  co_return Result;
}

} // namespace rr
