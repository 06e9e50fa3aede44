#include "instance/Instance.h"

#include "admin/AdminApi.h"
#include "base/Digest.h"
#include "base/Random.h"
#include "base/Timer.h"
#include "forwarding/RequestPipeline.h"
#include "forwarding/ServerAttempt.h"
#include "httpclient/HttpClient.h"
#include "httpserver/HttpListener.h"
#include "logging/EventLog.h"
#include "lookup/ClientBlocks.h"
#include "model/FleetConfig.h"
#include "model/FleetConfigJson.h"
#include "platform/HttpPlatform.h"
#include "platform/PlatformCalls.h"
#include "telemetry/Metrics.h"
#include "telemetry/SpanExporter.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <utility>

namespace rr {

namespace {

using nlohmann::json;

const std::string LookupPath = "/.redwingrack/lookup";
constexpr long ServerConnections = 400;
constexpr std::chrono::milliseconds SyncPeriod{500};

ListenerSettings listenerAt(const SocketAddress &Address) {
  ListenerSettings Result;
  Result.Address = Address.Ip;
  Result.Port = Address.Port;
  return Result;
}

} // namespace

/// First version of the whole path: one instance by itself, on the store.
class Instance::Implementation {
public:
  Implementation(asio::io_context &Context, Settings Options);

  void start();
  void beginStop();

private:
  struct Tokens {
    double Count = 0;
    Clock::time_point At;
  };

  asio::awaitable<HttpResponse> handleCaller(HttpServerRequest Request);
  HttpResponse lookUp(const HttpServerRequest &Request) const;
  KeyDecision authenticate(const std::string &Key) const;
  asio::awaitable<Outcome<void>> admit(std::string Workspace);
  asio::awaitable<DispatchResult> dispatch(DispatchRequest Request);
  asio::awaitable<void> follow();
  asio::awaitable<void> followOnce();
  asio::awaitable<AdminReply> propose(std::string Intent);
  asio::awaitable<AdminReply> confirm(std::string Plan);
  RequestServices requestServices();
  AdminServices adminServices();

  asio::io_context &Context;
  Settings Options;
  HttpClient ServerClient;
  HttpClient PlatformClient;
  Platform Store;
  Metrics Counters;
  SpanExporter Spans;
  std::shared_ptr<const FleetConfig> Config;
  std::map<std::string, std::string> KeyOwners;
  std::map<std::string, Tokens> Buckets;
  std::map<std::string, json> Plans;
  RequestPipeline Pipeline;
  AdminApi Admin;
  HttpListener Callers;
  HttpListener Operators;
  bool Stopping = false;
};

Instance::Implementation::Implementation(asio::io_context &Context,
                                         Settings Options)
    : Context(Context), Options(std::move(Options)),
      ServerClient(Context, ServerConnections), PlatformClient(Context, 8),
      Store(makeHttpPlatform(this->PlatformClient, this->Options.PlatformUrl,
                             this->Options.PlatformTimeout)),
      Spans(this->Options.InstanceName, this->Options.SpanFile, nullptr),
      Pipeline(this->requestServices(), this->Counters, &this->Spans),
      Admin(this->adminServices(), this->Options.OperatorTokens),
      Callers(Context, listenerAt(this->Options.CallerListen),
              [this](HttpServerRequest Request) {
                return this->handleCaller(std::move(Request));
              }),
      Operators(Context, listenerAt(this->Options.AdminListen),
                [this](HttpServerRequest Request) {
                  return this->Admin.handle(std::move(Request));
                }) {}

void Instance::Implementation::start() {
  asio::co_spawn(this->Context, this->follow(), asio::detached);
  logEvent(Event::InstanceStarted, {{"instance", this->Options.InstanceName},
                                    {"zone", this->Options.Zone}});
}

void Instance::Implementation::beginStop() {
  this->Stopping = true;
  this->Callers.close();
  this->Operators.close();
  logEvent(Event::InstanceStopped);
}

asio::awaitable<void> Instance::Implementation::follow() {
  while (!this->Stopping) {
    co_await this->followOnce();
    co_await sleepFor(SyncPeriod);
  }
}

asio::awaitable<void> Instance::Implementation::followOnce() {
  const auto Head = co_await readRow(this->Store, "config/current");
  if (Head && *Head) {
    std::vector<std::string> Problems;
    const auto Parsed = parseFleetConfig((*Head)->Value, Problems);
    if (Parsed)
      this->Config = std::make_shared<const FleetConfig>(*Parsed);
  }
  const auto Keys = co_await listRows(this->Store, "keys/");
  if (Keys)
    for (const Row &Item : *Keys)
      this->KeyOwners[Item.Key.substr(5)] = Item.Value;
}

asio::awaitable<HttpResponse>
Instance::Implementation::handleCaller(HttpServerRequest Request) {
  if (Request.Path == LookupPath)
    co_return this->lookUp(Request);
  co_return co_await this->Pipeline.handle(std::move(Request));
}

HttpResponse
Instance::Implementation::lookUp(const HttpServerRequest &Request) const {
  const json Self = {{"name", this->Options.InstanceName},
                     {"address", this->Options.AdvertisedCallerAddress},
                     {"zone", this->Options.Zone}};
  const json Body = {
      {"client", queryParameter(Request, "address")},
      {"instances", json::array({Self})},
      {"max_age_s", std::chrono::duration_cast<std::chrono::seconds>(
                        this->Options.LookupMaxAge)
                        .count()}};
  return jsonResponse(200, Body.dump());
}

KeyDecision
Instance::Implementation::authenticate(const std::string &Key) const {
  const auto Found = this->KeyOwners.find(sha256Hex(Key));
  if (Found == this->KeyOwners.end())
    return {};
  return {KeyDecision::Kind::Accepted, Found->second};
}

asio::awaitable<Outcome<void>>
Instance::Implementation::admit(std::string Workspace) {
  const auto *Paid = findWorkspace(*this->Config, Workspace);
  if (!Paid)
    co_return failure(Errc::LimitReached);
  const auto Now = Clock::now();
  const auto Found =
      this->Buckets.try_emplace(Workspace, Tokens{Paid->Burst, Now}).first;
  Tokens &Bucket = Found->second;
  const std::chrono::duration<double> Passed = Now - Bucket.At;
  Bucket.Count =
      std::min(Paid->Burst, Bucket.Count + Paid->Rate * Passed.count());
  Bucket.At = Now;
  if (Bucket.Count < 1)
    co_return failure(Errc::LimitReached);
  Bucket.Count -= 1;
  co_return Outcome<void>();
}

asio::awaitable<DispatchResult>
Instance::Implementation::dispatch(DispatchRequest Request) {
  const auto Current = this->Config;
  for (const BackendServer &Server : Current->Servers)
    if (Server.Service == Request.Service && !Server.Draining)
      co_return co_await attemptAt(this->ServerClient, &this->Spans, Server,
                                   std::move(Request),
                                   this->Options.LargestAnswerBody);
  DispatchResult None;
  None.Reason = "no_server";
  co_return None;
}

RequestServices Instance::Implementation::requestServices() {
  RequestServices Result;
  Result.Config = [this] { return this->Config; };
  Result.Authenticate = [this](const std::string &Key) {
    return this->authenticate(Key);
  };
  Result.Admit = [this](std::string Workspace, Clock::time_point) {
    return this->admit(std::move(Workspace));
  };
  Result.Dispatch = [this](DispatchRequest Request) {
    return this->dispatch(std::move(Request));
  };
  return Result;
}

asio::awaitable<AdminReply>
Instance::Implementation::propose(std::string Intent) {
  json Wish = json::parse(Intent, nullptr, false);
  if (!Wish.is_object())
    co_return adminError(400, "malformed", "expected a JSON object");
  const std::string Id = randomToken().substr(0, 8);
  const json Plan = {
      {"id", Id},
      {"state", "proposed"},
      {"wish", Wish},
      {"base_version", this->Config ? this->Config->Version : 0}};
  this->Plans[Id] = Plan;
  co_return AdminReply{201, Plan.dump()};
}

asio::awaitable<AdminReply>
Instance::Implementation::confirm(std::string Plan) {
  const auto Found = this->Plans.find(Plan);
  if (Found == this->Plans.end())
    co_return adminError(404, "not_found", "there is no such plan");
  const json Wish = Found->second["wish"];
  Transaction Writes;
  if (Wish.value("kind", "") == "load_document")
    Writes.Writes.push_back({RowWrite::Kind::Put, "config/current",
                             Wish.value("document", ""), std::nullopt});
  if (Wish.value("kind", "") == "issue_key")
    Writes.Writes.push_back({RowWrite::Kind::Put,
                             "keys/" + Wish.value("key_hash", ""),
                             Wish.value("workspace", ""), std::nullopt});
  if (Writes.Writes.empty())
    co_return adminError(422, "not_supported", "this intent is not known yet");
  const auto Done = co_await this->Store.Commit(Writes);
  if (!Done)
    co_return adminError(503, "store_unavailable", Done.error().message());
  co_await this->followOnce();
  this->Plans[Plan]["state"] = "finished";
  co_return AdminReply{200, this->Plans[Plan].dump()};
}

AdminServices Instance::Implementation::adminServices() {
  AdminServices Result;
  Result.Status = [this] {
    const json Body = {
        {"instance", this->Options.InstanceName},
        {"zone", this->Options.Zone},
        {"configuration", this->Config ? this->Config->Version : 0}};
    return AdminReply{200, Body.dump()};
  };
  Result.Fleet = Result.Status;
  Result.Metrics = [this] { return this->Counters.format(); };
  Result.Propose = [this](std::string, std::string Intent) {
    return this->propose(std::move(Intent));
  };
  Result.Confirm = [this](std::string, std::string Plan) {
    return this->confirm(std::move(Plan));
  };
  Result.TakeBack = [](std::string,
                       std::string) -> asio::awaitable<AdminReply> {
    co_return adminError(422, "not_supported", "there is no way back yet");
  };
  Result.Show = [this](std::string Plan) -> asio::awaitable<AdminReply> {
    const auto Found = this->Plans.find(Plan);
    if (Found == this->Plans.end())
      co_return adminError(404, "not_found", "there is no such plan");
    co_return AdminReply{200, Found->second.dump()};
  };
  Result.ListPlans = []() -> asio::awaitable<AdminReply> {
    co_return AdminReply();
  };
  Result.Audit = Result.ListPlans;
  Result.KeyReport = [](std::string) { return AdminReply(); };
  return Result;
}

Instance::Instance(asio::io_context &Context, Settings Options)
    : Impl(std::make_unique<Implementation>(Context, std::move(Options))) {}

Instance::~Instance() = default;

void Instance::start() { this->Impl->start(); }

void Instance::beginStop() { this->Impl->beginStop(); }

} // namespace rr
