#include "forwarding/ServerAttempt.h"

#include "base/Errc.h"
#include "httpclient/HttpClient.h"
#include "model/BackendServer.h"
#include "telemetry/SpanExporter.h"

#include <algorithm>
#include <utility>

namespace rr {

namespace {

constexpr std::chrono::milliseconds LongestConnect{2000};

std::chrono::milliseconds timeLeft(Clock::time_point Deadline) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Deadline -
                                                               Clock::now());
}

HttpRequest makeHttpRequest(const BackendServer &Server,
                            DispatchRequest &Request, const TraceContext &Trace,
                            std::size_t LargestAnswer) {
  const auto Left = timeLeft(Request.Deadline);
  HttpRequest Result;
  Result.Method = Request.Method;
  Result.Url = "http://" + Server.Address + Request.Target;
  Result.Headers = std::move(Request.Headers);
  Result.Headers.push_back({"traceparent", formatTraceParent(Trace)});
  Result.Headers.push_back(
      {"X-Request-Timeout-Ms", std::to_string(Left.count())});
  if (!Request.Workspace.empty())
    Result.Headers.push_back({"X-Workspace", Request.Workspace});
  Result.Body = std::move(Request.Body);
  Result.ConnectTimeout = std::min(LongestConnect, Left);
  Result.Timeout = Left;
  Result.MaxResponseBytes = LargestAnswer;
  Result.Cancel = Request.Cancel;
  return Result;
}

const char *reasonOf(const HttpResult &Result) {
  if (!Result.MayHaveBeenSent)
    return "server_unreachable";
  if (Result.Error == Errc::Timeout)
    return "server_timeout";
  if (Result.Error == Errc::TooLarge)
    return "answer_too_large";
  if (Result.Error == Errc::Cancelled)
    return "cancelled";
  return "connection_lost";
}

} // namespace

asio::awaitable<DispatchResult>
attemptAt(HttpClient &Client, SpanExporter *Spans, BackendServer Server,
          DispatchRequest Request, std::size_t LargestAnswer) {
  SpanScope Span(Spans, "attempt", &Request.Trace);
  Span.set("server", Server.Name);
  Span.set("version", Server.Version);
  DispatchResult Result;
  Result.Server = Server.Name;
  Result.Version = Server.Version;
  if (timeLeft(Request.Deadline).count() < 1) {
    Result.Reason = "deadline_passed";
    co_return Result;
  }
  HttpRequest Prepared =
      makeHttpRequest(Server, Request, Span.context(), LargestAnswer);
  HttpResult Answer = co_await Client.send(std::move(Prepared));
  if (!Answer.Error) {
    Result.Answered = true;
    Result.Status = Answer.Status;
    Result.Headers = std::move(Answer.Headers);
    Result.Body = std::move(Answer.Body);
    Span.set("status", std::to_string(Result.Status));
    co_return Result;
  }
  Span.fail();
  Result.Reason = reasonOf(Answer);
  Result.Outcome =
      Answer.MayHaveBeenSent ? Execution::Unknown : Execution::NotRun;
  Result.ConnectionEnded =
      Answer.MayHaveBeenSent && Answer.Error == Errc::ConnectionLost;
  co_return Result;
}

} // namespace rr
