#include "standins/BackendStandin.h"

#include "base/Timer.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <utility>

namespace rr {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds SilentTime{300};

} // namespace

BackendStandin::BackendStandin(asio::io_context &Context,
                               const ListenerSettings &Address,
                               Options Behaviour)
    : Behaviour(std::move(Behaviour)),
      Listener(Context, Address, [this](HttpServerRequest Request) {
        return this->handle(std::move(Request));
      }) {}

asio::awaitable<HttpResponse>
BackendStandin::handle(HttpServerRequest Request) {
  if (Request.Path == "/control")
    co_return this->handleControl(Request);
  if (Request.Path == "/load")
    co_return this->report();
  this->note(Request);
  if (!this->CrashPath.empty() && Request.Path == this->CrashPath)
    std::_Exit(134);
  if (!this->SilentPath.empty() && Request.Path == this->SilentPath)
    co_await sleepFor(SilentTime);
  if (this->Running >= this->Behaviour.Slots) {
    ++this->Shed;
    co_return jsonResponse(503, R"({"error":"no free slot"})");
  }
  ++this->Running;
  this->MostRunning = std::max(this->MostRunning, this->Running);
  HttpResponse Result = co_await this->run(std::move(Request));
  --this->Running;
  co_return Result;
}

void BackendStandin::note(const HttpServerRequest &Request) {
  const std::string *Order = findHeader(Request.Headers, "Idempotency-Key");
  if (Order)
    ++this->RunsByOrder[*Order];
  if (this->ForbiddenText.empty())
    return;
  std::string Everything =
      Request.Path + "?" + Request.Query + "\n" + Request.Body;
  for (const HttpHeader &Field : Request.Headers)
    Everything += "\n" + Field.Name + ": " + Field.Value;
  if (Everything.find(this->ForbiddenText) != std::string::npos)
    ++this->ForbiddenSeen;
}

asio::awaitable<HttpResponse> BackendStandin::run(HttpServerRequest Request) {
  co_await sleepFor(this->Behaviour.Latency);
  ++this->Served;
  if (this->Served % 100 < this->FailPercent)
    co_return jsonResponse(500, R"({"error":"the version is faulty"})");
  const std::string *Workspace = findHeader(Request.Headers, "X-Workspace");
  const json Body = {{"server", this->Behaviour.Name},
                     {"service", this->Behaviour.Service},
                     {"version", this->Behaviour.Version},
                     {"method", Request.Method},
                     {"path", Request.Path},
                     {"query", Request.Query},
                     {"body", Request.Body},
                     {"workspace", Workspace ? *Workspace : ""}};
  co_return jsonResponse(
      200, Body.dump(-1, ' ', false, json::error_handler_t::replace));
}

HttpResponse BackendStandin::report() const {
  const json Body = {{"running", this->Running},
                     {"slots", this->Behaviour.Slots},
                     {"most_running", this->MostRunning},
                     {"served", this->Served},
                     {"shed", this->Shed},
                     {"forbidden_seen", this->ForbiddenSeen},
                     {"runs_by_order", this->RunsByOrder}};
  return jsonResponse(200, Body.dump());
}

HttpResponse BackendStandin::handleControl(const HttpServerRequest &Request) {
  const json Text = json::parse(Request.Body, nullptr, false);
  if (!Text.is_object())
    return jsonResponse(400, "{}");
  this->FailPercent = Text.value("fail_percent", this->FailPercent);
  this->CrashPath = Text.value("crash_path", this->CrashPath);
  this->SilentPath = Text.value("silent_path", this->SilentPath);
  this->ForbiddenText = Text.value("forbidden_text", this->ForbiddenText);
  this->Behaviour.Latency = std::chrono::milliseconds(
      Text.value("latency_ms", this->Behaviour.Latency.count()));
  return this->report();
}

} // namespace rr
