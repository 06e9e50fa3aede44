#include "standins/PlatformStandin.h"

#include "base/Timer.h"
#include "platform/PlatformJson.h"

#include <cstdlib>

namespace rr {

namespace {

using nlohmann::json;

// A caller whose answer is lost waits until its own time-out.
constexpr std::chrono::seconds LostAnswerDelay{20};

HttpResponse errorResponse(const std::error_code &Error) {
  if (Error == Errc::NotFound)
    return jsonResponse(404, "{}");
  if (Error == Errc::Conflict)
    return jsonResponse(409, "{}");
  if (Error == Errc::Malformed)
    return jsonResponse(400, "{}");
  return jsonResponse(503, "{}");
}

template <typename T> json listOf(const std::vector<T> &Items) {
  json Result = json::array();
  for (const T &Item : Items)
    Result.push_back(toJson(Item));
  return Result;
}

} // namespace

PlatformStandin::PlatformStandin(asio::io_context &Context,
                                 const ListenerSettings &Address)
    : Calls(this->Store.platform()),
      Listener(Context, Address, [this](HttpServerRequest Request) {
        return this->handle(std::move(Request));
      }) {}

asio::awaitable<HttpResponse>
PlatformStandin::handle(HttpServerRequest Request) {
  if (Request.Path == "/control")
    co_return this->handleControl(Request);
  if (this->Store.Down)
    co_await sleepFor(LostAnswerDelay);
  if (Request.Path == "/v1/rows")
    co_return co_await this->handleRows(Request);
  if (Request.Path == "/v1/commit")
    co_return co_await this->handleCommit(Request);
  if (Request.Path == "/v1/objects")
    co_return co_await this->handleObjects(Request);
  if (Request.Path == "/v1/instances")
    co_return co_await this->handleInstances(Request);
  co_return jsonResponse(404, "{}");
}

asio::awaitable<HttpResponse>
PlatformStandin::handleRows(const HttpServerRequest &Request) {
  const std::string Key = queryParameter(Request, "key");
  if (!Key.empty()) {
    const auto Found = co_await this->Calls.ReadRow(Key);
    if (!Found)
      co_return errorResponse(Found.error());
    if (!*Found)
      co_return jsonResponse(404, "{}");
    co_return jsonResponse(200, formatJson(toJson(**Found)));
  }
  const std::string Limit = queryParameter(Request, "limit");
  const auto Rows = co_await this->Calls.ListRows(
      queryParameter(Request, "prefix"), queryParameter(Request, "after"),
      static_cast<std::size_t>(std::atoi(Limit.c_str())));
  if (!Rows)
    co_return errorResponse(Rows.error());
  const json Body = {{"rows", listOf(*Rows)}};
  co_return jsonResponse(200, formatJson(Body));
}

asio::awaitable<HttpResponse>
PlatformStandin::handleCommit(const HttpServerRequest &Request) {
  const auto Text = parseJson(Request.Body);
  if (!Text)
    co_return errorResponse(Text.error());
  const auto Writes = transactionFromJson(*Text);
  if (!Writes)
    co_return errorResponse(Writes.error());
  const auto Result = co_await this->Calls.Commit(*Writes);
  if (!Result && Result.error() == Errc::Unknown)
    co_await sleepFor(LostAnswerDelay);
  if (!Result)
    co_return errorResponse(Result.error());
  co_return jsonResponse(200, "{}");
}

asio::awaitable<HttpResponse>
PlatformStandin::handleObjects(const HttpServerRequest &Request) {
  const std::string Name = queryParameter(Request, "name");
  if (Request.Method == "PUT") {
    const auto Result = co_await this->Calls.PutObject(Name, Request.Body);
    co_return Result ? jsonResponse(200, "{}") : errorResponse(Result.error());
  }
  const auto Data = co_await this->Calls.GetObject(Name);
  if (!Data)
    co_return errorResponse(Data.error());
  HttpResponse Result;
  Result.Body = *Data;
  co_return Result;
}

asio::awaitable<HttpResponse>
PlatformStandin::handleInstances(const HttpServerRequest &Request) {
  if (Request.Method == "PUT") {
    const auto Text = parseJson(Request.Body);
    if (!Text)
      co_return errorResponse(Text.error());
    const auto Record = instanceFromJson(*Text);
    if (!Record)
      co_return errorResponse(Record.error());
    const auto Result = co_await this->Calls.AnnounceInstance(*Record);
    co_return Result ? jsonResponse(200, "{}") : errorResponse(Result.error());
  }
  const auto Found = co_await this->Calls.ListInstances();
  if (!Found)
    co_return errorResponse(Found.error());
  const json Body = {{"instances", listOf(*Found)}};
  co_return jsonResponse(200, formatJson(Body));
}

HttpResponse PlatformStandin::handleControl(const HttpServerRequest &Request) {
  const auto Text = parseJson(Request.Body);
  if (Request.Method == "PUT" && Text && Text->is_object()) {
    this->Store.Down = Text->value("down", this->Store.Down);
    this->Store.LoseAnswers = Text->value("lose_answers", 0);
    this->Store.Latency =
        std::chrono::milliseconds(Text->value("latency_ms", std::int64_t{0}));
  }
  const json Body = {{"reads", this->Store.Reads},
                     {"writes", this->Store.Writes},
                     {"down", this->Store.Down}};
  return jsonResponse(200, Body.dump());
}

} // namespace rr
