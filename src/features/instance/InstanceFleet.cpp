#include "instance/InstanceFleet.h"

#include "base/Digest.h"
#include "base/Timer.h"
#include "configuration/ControlHead.h"
#include "instance/InstanceFleetConfig.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace rr {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds Step{10};

} // namespace

InstanceFleet::InstanceFleet() {
  const std::vector<std::pair<std::string, std::string>> Names = {
      {"a1x", "a1"}, {"a1y", "a1"}, {"a2x", "a2"}, {"b1x", "b1"}};
  for (const auto &[Name, Zone] : Names) {
    Node &Item = this->Nodes[Name];
    Item.Name = Name;
    Item.Zone = Zone;
  }
  for (const BackendServer &Item : instanceFleetConfig().Servers)
    this->Servers[Item.Name];
}

InstanceFleet::~InstanceFleet() {
  for (auto &[Name, Item] : this->Nodes)
    if (Item.Core)
      Item.Core->stopNow();
  // Lets the coroutines end before the objects that they use.
  this->Loop.advance(std::chrono::seconds(65), std::chrono::milliseconds(100));
}

bool InstanceFleet::canReach(const Node &From, const Node &To) const {
  return From.Group == To.Group;
}

void InstanceFleet::start(const std::string &Name) {
  Node &Item = this->Nodes.at(Name);
  Item.Incarnation = ++this->Incarnations;
  Item.Running = true;
  Item.HostSilent = false;
  InstanceOptions Options;
  Options.Name = Name;
  Options.Zone = Item.Zone;
  Options.CallerAddress = Name + ":80";
  Options.PeerAddress = Name + ":81";
  Options.Incarnation = Item.Incarnation;
  Options.RandomSeed = Item.Incarnation;
  Options.StopGrace = std::chrono::seconds(10);
  Options.Seeds = this->Seeds;
  Item.Counters = std::make_unique<Metrics>();
  Item.Core = std::make_unique<InstanceCore>(
      this->Loop.context().get_executor(), Options,
      this->Store.platform(&Item.StoreCut), this->networkOf(Name),
      this->serversOf(), *Item.Counters, nullptr);
  Item.Core->start();
  this->Observer.instance(Name, history::InstanceState::Started);
}

void InstanceFleet::kill(const std::string &Name, bool HostSilent) {
  Node &Item = this->Nodes.at(Name);
  Item.Running = false;
  Item.HostSilent = HostSilent;
  this->Observer.instance(Name, history::InstanceState::Killed);
  Item.Core->stopNow();
  this->Ended.push_back(std::move(Item.Core));
  this->EndedCounters.push_back(std::move(Item.Counters));
}

PeerNetwork InstanceFleet::networkOf(const std::string &Name) {
  PeerNetwork Result;
  Result.Connect = [](const std::string &, const std::string &) {};
  Result.Disconnect = [](const std::string &) {};
  Result.IsLinked = [this, Name](const std::string &Peer) {
    const Node &To = this->Nodes.at(Peer);
    return To.Running && this->canReach(this->Nodes.at(Name), To);
  };
  Result.Send = [this, Name](const std::string &Peer, const std::string &Method,
                             const json &Body) {
    this->Loop.spawn([this, Name, Peer, Method, Body]() {
      return this->send(Name, Peer, Method, Body);
    });
  };
  Result.Call = [this, Name](std::string Peer, std::string Method, json Body,
                             Clock::time_point Deadline,
                             CancellationPtr Cancel) {
    return this->call(Name, std::move(Peer), std::move(Method), std::move(Body),
                      Deadline, std::move(Cancel));
  };
  return Result;
}

asio::awaitable<void> InstanceFleet::send(std::string From, std::string To,
                                          std::string Method, json Body) {
  co_await sleepFor(this->PeerLatency);
  Node &Target = this->Nodes.at(To);
  if (Target.Running && this->canReach(this->Nodes.at(From), Target))
    Target.Core->onMessage(From, Method, Body);
}

asio::awaitable<Outcome<json>>
InstanceFleet::call(std::string From, std::string To, std::string Method,
                    json Body, Clock::time_point Deadline,
                    CancellationPtr Cancel) {
  const auto Found = this->Nodes.find(To);
  if (Found == this->Nodes.end())
    co_return failure(Errc::Unavailable);
  Node &Target = Found->second;
  co_await sleepFor(this->PeerLatency);
  const bool Reachable = this->canReach(this->Nodes.at(From), Target);
  if (!Reachable || (!Target.Running && Target.HostSilent)) {
    // No link is up, so the call never left; finding that out takes time.
    co_await sleepFor(std::min<Clock::duration>(std::chrono::milliseconds(100),
                                                Deadline - Clock::now()));
    co_return failure(Errc::Unavailable);
  }
  if (!Target.Running)
    co_return failure(Errc::ConnectionRefused);
  InstanceCore *const Core = Target.Core.get();
  auto Result = co_await Core->onCall(From, Method, std::move(Body), Deadline,
                                      std::move(Cancel));
  co_await sleepFor(this->PeerLatency);
  if (Target.Core.get() != Core ||
      !this->canReach(this->Nodes.at(From), Target))
    co_return failure(Errc::ConnectionLost);
  co_return Result;
}

BackendNetwork InstanceFleet::serversOf() {
  BackendNetwork Result;
  Result.Attempt = [this](BackendServer Server, DispatchRequest Request) {
    return this->attempt(std::move(Server), std::move(Request));
  };
  Result.Probe = [this](BackendServer Server) -> asio::awaitable<bool> {
    co_return !this->Servers.at(Server.Name).Down;
  };
  Result.Load =
      [this](BackendServer Server) -> asio::awaitable<Outcome<ServerLoad>> {
    FakeServer &Target = this->Servers.at(Server.Name);
    ++Target.LoadAsks;
    if (!Target.Load)
      co_return failure(Errc::NotFound);
    co_return *Target.Load;
  };
  return Result;
}

asio::awaitable<DispatchResult>
InstanceFleet::attempt(BackendServer Server, DispatchRequest Request) {
  FakeServer &Target = this->Servers.at(Server.Name);
  DispatchResult Result;
  Result.Server = Server.Name;
  Result.Version = Server.Version;
  Result.Reason = "server_unreachable";
  if (Target.Down)
    co_return Result;
  std::string Everything = Request.Target + Request.Body;
  for (const HttpHeader &Field : Request.Headers)
    Everything += Field.Value;
  this->KeysSeen += Everything.find(this->Key) != std::string::npos ? 1 : 0;
  const std::string *Id = findHeader(Request.Headers, "X-Request-Id");
  const std::string RequestId = Id ? *Id : "";
  ++Target.Runs[RequestId];
  Target.Workspaces[RequestId] = Request.Workspace;
  Target.LastBegan = Clock::now();
  Result.Outcome = Execution::Unknown;
  if (!Target.CrashPath.empty() && Request.Target == Target.CrashPath) {
    ++Target.Crashes;
    Target.Down = true;
    Result.Reason = "connection_lost";
    Result.ConnectionEnded = true;
    co_return Result;
  }
  ++Target.Running;
  this->Observer.serverBegan(Server, RequestId, Request.Workspace,
                             Everything.find(this->Key) != std::string::npos,
                             Target.Running);
  Target.MostRunning = std::max(Target.MostRunning, Target.Running);
  const Clock::duration Left = Request.Deadline - Clock::now();
  co_await sleepFor(Target.Silent ? Left : std::min(Left, Target.Latency));
  --Target.Running;
  this->Observer.serverEnded(Server.Name, RequestId, Target.Running);
  if (Target.Silent || Clock::now() >= Request.Deadline) {
    Result.Reason = "server_timeout";
    co_return Result;
  }
  ++Target.Served;
  Result.Answered = true;
  Result.Reason.clear();
  Result.Status = Target.Fails ? 500 : 200;
  Result.Body = RequestId + "@" + Server.Name;
  co_return Result;
}

void InstanceFleet::advance(Clock::duration Time) {
  this->Loop.advance(Time, Step);
}

std::shared_ptr<HttpResponse> InstanceFleet::begin(const std::string &Instance,
                                                   const std::string &Path,
                                                   const std::string &Method,
                                                   const HttpHeaders &Extra) {
  auto Result = std::make_shared<HttpResponse>();
  Result->Status = 0;
  HttpServerRequest Request;
  Request.Method = Method;
  Request.Path = Path.substr(0, Path.find('?'));
  if (Path.find('?') != std::string::npos)
    Request.Query = Path.substr(Path.find('?') + 1);
  Request.Headers = Extra;
  std::string Id = "r" + std::to_string(++this->Requests);
  if (const std::string *Given = findHeader(Extra, "X-Request-Id"))
    Id = *Given;
  else
    Request.Headers.push_back({"X-Request-Id", Id});
  Request.Headers.push_back({"Authorization", "Bearer " + this->Key});
  Request.RemoteAddress = "10.1.0.1";
  Request.Cancel = std::make_shared<Cancellation>();
  InstanceCore *const Core = this->Nodes.at(Instance).Core.get();
  // Each sending is a request of its own for the observer.
  const std::string Sending = Id + "/" + std::to_string(++this->Requests);
  const bool Observed = Request.Path.find("/.redwingrack") != 0;
  if (Observed)
    this->Observer.callerSent(Sending, Id, Request, Instance);
  this->Loop.spawn([this, Core, Request, Result, Sending,
                    Observed]() -> asio::awaitable<void> {
    HttpResponse Response = co_await Core->handleCaller(Request);
    if (Observed)
      this->Observer.callerAnswered(Sending, Response);
    *Result = std::move(Response);
  });
  return Result;
}

HttpResponse InstanceFleet::request(const std::string &Instance,
                                    const std::string &Path,
                                    const std::string &Method,
                                    const HttpHeaders &Extra) {
  const auto Result = this->begin(Instance, Path, Method, Extra);
  const Clock::time_point End = Clock::now() + this->Patience;
  while (Result->Status == 0 && Clock::now() < End)
    this->advance(Step);
  return *Result;
}

AdminReply
InstanceFleet::admin(std::function<asio::awaitable<AdminReply>()> Call) {
  auto Result = std::make_shared<AdminReply>();
  Result->Status = 0;
  this->Loop.spawn([Call, Result]() -> asio::awaitable<void> {
    AdminReply Reply = co_await Call();
    *Result = std::move(Reply);
  });
  const Clock::time_point End = Clock::now() + this->Patience;
  while (Result->Status == 0 && Clock::now() < End)
    this->advance(Step);
  return *Result;
}

AdminReply InstanceFleet::propose(const std::string &Instance,
                                  const std::string &Intent) {
  const auto Services = this->core(Instance).adminServices();
  return this->admin(
      [Services, Intent] { return Services.Propose("tester", Intent); });
}

AdminReply InstanceFleet::confirm(const std::string &Instance,
                                  const std::string &Plan) {
  const auto Services = this->core(Instance).adminServices();
  return this->admin(
      [Services, Plan] { return Services.Confirm("tester", Plan); });
}

AdminReply InstanceFleet::takeBack(const std::string &Instance,
                                   const std::string &Plan) {
  const auto Services = this->core(Instance).adminServices();
  return this->admin(
      [Services, Plan] { return Services.TakeBack("tester", Plan); });
}

AdminReply InstanceFleet::show(const std::string &Instance,
                               const std::string &Plan) {
  const auto Services = this->core(Instance).adminServices();
  return this->admin([Services, Plan] { return Services.Show(Plan); });
}

std::string InstanceFleet::carryOut(const std::string &Instance,
                                    const std::string &Intent) {
  const AdminReply Plan = this->propose(Instance, Intent);
  if (Plan.Status != 201)
    return {};
  const std::string Id = json::parse(Plan.Body)["id"].get<std::string>();
  return this->confirm(Instance, Id).Status == 200 ? Id : std::string();
}

std::string InstanceFleet::stateOf(const std::string &Instance,
                                   const std::string &Plan) {
  const AdminReply Reply = this->show(Instance, Plan);
  const json Body = json::parse(Reply.Body, nullptr, false);
  return Body.is_object() ? Body.value("state", "") : std::string();
}

int InstanceFleet::runsOf(const std::string &RequestId) const {
  int Sum = 0;
  for (const auto &[Name, Server] : this->Servers) {
    const auto Found = Server.Runs.find(RequestId);
    Sum += Found == Server.Runs.end() ? 0 : Found->second;
  }
  return Sum;
}

std::string intentText(const std::string &Kind, const std::string &Members) {
  return "{\"kind\":\"" + Kind + "\"," + Members + "}";
}

void InstanceFleet::bringUp() {
  for (auto &[Name, Item] : this->Nodes)
    this->start(Name);
  this->advance(std::chrono::seconds(15));
  const json Load = {{"kind", "load_document"},
                     {"document", instanceFleetDocument()}};
  this->carryOut("a1x", Load.dump());
  this->advance(std::chrono::seconds(2));
  this->carryOut("a1x",
                 intentText("issue_key", "\"workspace\":\"w\",\"key_hash\":\"" +
                                             sha256Hex(this->Key) + "\""));
  this->advance(std::chrono::seconds(20));
}

} // namespace rr
