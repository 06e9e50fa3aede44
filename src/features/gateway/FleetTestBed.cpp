#include "gateway/FleetTestBed.h"

#include "base/Timer.h"
#include "gateway/InstanceTestBed.h"
#include "testing/RunReady.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/post.hpp>

namespace rr {

namespace {

constexpr Clock::duration Step = std::chrono::milliseconds(10);
constexpr Clock::duration CallerTimeout = std::chrono::milliseconds(1500);
/// Time after which all instances have read each other's records and may use
/// their shares of the fleet-wide limits.
constexpr Clock::duration StartTime = std::chrono::seconds(8);

} // namespace

FleetTestBed::FleetTestBed(std::size_t InstanceCount, PlaceByCost Setting)
    : ByCost(Setting), CallerLinks(this->Context, 0, {}) {
  Clock::pause();
  this->Configs[1] = testConfiguration(1, {"key"}, 0, 0);
  this->Tables.put("orders", "config", "1");
  for (std::size_t Index = 0; Index < InstanceCount; ++Index)
    this->startInstance();
  this->advance(StartTime);
}

FleetTestBed::~FleetTestBed() { Clock::resume(); }

void FleetTestBed::startInstance() {
  GatewaySettings Settings = testSettings();
  Settings.ByCost = this->ByCost;
  Settings.Name = "i" + std::to_string(this->Instances.size());
  this->Instances.push_back(std::make_unique<SteeringInstance>(
      this->Context, Settings, this->Tables.tables(),
      testCodec(this->Configs)));
  if (!this->Instances.back()->start())
    std::abort();
}

void FleetTestBed::addInstance() {
  this->startInstance();
  this->advance(StartTime);
}

void FleetTestBed::listen(const std::string &Id, const std::string &Address) {
  Server &Item = this->Servers[Id];
  Item.Http = std::make_unique<HttpServer>(
      this->Context, [this, Id](HttpMessage Message, const CancellationPtr &) {
        return this->serve(Id, std::move(Message));
      });
  if (!Item.Http->listen(Address))
    std::abort();
  Item.Address = "127.0.0.1:" + std::to_string(Item.Http->port());
}

FleetTestBed::Server &FleetTestBed::addServer(const std::string &Id) {
  this->listen(Id, "127.0.0.1:0");
  Server &Item = this->Servers.at(Id);
  this->Tables.put("backends", Id, Item.Address + " z-a ready");
  return Item;
}

std::vector<std::string> FleetTestBed::ids() const {
  std::vector<std::string> Result;
  for (const auto &Item : this->Servers)
    Result.push_back(Item.first);
  return Result;
}

void FleetTestBed::close(Server &Item) {
  Item.Http->stopAccepting();
  this->Ended.push_back(std::move(Item.Http));
  // The handler that called this runs in a session of the server.
  asio::post(this->Context, [this] { this->Ended.clear(); });
}

void FleetTestBed::crash(const std::string &Id) {
  this->Crashes.push_back(Clock::now());
  this->close(this->Servers.at(Id));
  this->Tables.erase("backends", Id);
  this->addServer(Id + "-" + std::to_string(++this->LastServer));
}

asio::awaitable<HttpMessage> FleetTestBed::serve(std::string Id,
                                                 HttpMessage Message) {
  Server &Item = this->Servers.at(Id);
  Item.Arrivals.push_back(Clock::now());
  if (!this->CrashingBody.empty() && Message.Body == this->CrashingBody &&
      Item.Http)
    this->crash(Id);
  if (this->ResetConnections && Item.Http) {
    this->close(Item);
    this->listen(Id, Item.Address);
  }
  co_await sleepFor(this->WorkTime);
  HttpMessage Reply = InstanceTestBed::goodAnswer(Message);
  for (const HttpHeader &Field : Item.AnswerHeaders)
    Reply.Headers.push_back(Field);
  co_return Reply;
}

void FleetTestBed::advance(Clock::duration Time) {
  for (Clock::duration Passed{0}; Passed < Time; Passed += Step) {
    Clock::advance(Step);
    runReady(this->Context);
  }
}

std::shared_ptr<FleetTestBed::Call>
FleetTestBed::send(std::size_t Instance, const std::string &Path,
                   const std::string &Body) {
  auto Result = std::make_shared<Call>();
  HttpConnectionPool::Call Parameters;
  Parameters.Address =
      "127.0.0.1:" + std::to_string(this->Instances[Instance]->callerPort());
  Parameters.Request.Method = "GET";
  Parameters.Request.Target = Path;
  Parameters.Request.Headers = {
      {"Host", "h"},
      {"Id", "r" + std::to_string(++this->LastRequest)},
      {"Key", "key"},
      {"Deadline", "1500"}};
  Parameters.Request.Body = Body;
  Parameters.ConnectDeadline = Parameters.Deadline =
      Clock::now() + CallerTimeout;
  auto Run = [this, Result](
                 HttpConnectionPool::Call Request) -> asio::awaitable<void> {
    const auto Exchange = co_await this->CallerLinks.call(std::move(Request));
    Result->Ended = true;
    Result->Status = Exchange.Error ? 0 : Exchange.Response.Status;
    Result->Headers = Exchange.Response.Headers;
  };
  // The callable must outlive its coroutine.
  auto Kept = std::make_shared<decltype(Run)>(std::move(Run));
  asio::co_spawn(this->Context, (*Kept)(std::move(Parameters)),
                 [Kept](const std::exception_ptr &) {});
  return Result;
}

FleetTestBed::Call FleetTestBed::request(std::size_t Instance,
                                         const std::string &Path,
                                         const std::string &Body) {
  const auto Sent = this->send(Instance, Path, Body);
  while (!Sent->Ended)
    this->advance(Step);
  return *Sent;
}

} // namespace rr
