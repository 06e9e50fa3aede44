#include "gateway/SoakFleet.h"

#include "base/Timer.h"
#include "gateway/InstanceTestBed.h"
#include "testing/RunReady.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>

#include <algorithm>

namespace rr {

const std::vector<std::string> SoakFleet::Zones{"z-a", "z-b", "y-a", "y-b"};

namespace {

constexpr Clock::duration Step = std::chrono::milliseconds(10);
constexpr Clock::duration FaultPeriod = std::chrono::milliseconds(2500);
/// Exceeds the workspace's rate, so that every instance uses its share.
constexpr double RequestsPerStep = 2.2;
/// Time limits are not checked for this long after a fault of the store or of
/// instances.
constexpr Clock::duration RecoveryTime = std::chrono::seconds(4);
constexpr Clock::duration CallerTimeout = std::chrono::milliseconds(1500);
/// Servers that run a request with this path crash.
const std::string CrashingPath = "/open/crash";
constexpr Clock::duration CrashingRequestPeriod =
    std::chrono::milliseconds(1500);
/// Requests per step while callers are quiet.
constexpr double QuietRequestsPerStep = 0.06;
/// Share of the requests that use the newest route.
constexpr double NewestRouteShare = 0.05;
/// Share of the requests that a standby gets, as health checks do.
constexpr double StandbyShare = 0.005;
constexpr double StandbyBurstShare = 0.3;

/// A socket bound to a free port, beside which others may listen. The kernel
/// gives the port to no outgoing connection meanwhile, which would keep an
/// instance that restarts from listening.
asio::ip::tcp::socket reservePort(asio::io_context &Context) {
  const asio::ip::tcp::endpoint Any(asio::ip::make_address("127.0.0.1"), 0);
  asio::ip::tcp::socket Reserved(Context, Any.protocol());
  Reserved.set_option(asio::socket_base::reuse_address(true));
  Reserved.bind(Any);
  return Reserved;
}

std::string seconds(Clock::time_point Time) {
  return std::to_string(
      std::chrono::duration<double>(Time.time_since_epoch()).count());
}

} // namespace

SoakFleet::SoakFleet(unsigned Seed)
    : Random(Seed), OneRegion(Seed % 2 == 1),
      CallerLinks(this->SharedContext, 4, {}) {
  Clock::pause();
  this->configure();
  for (const std::string &Zone : Zones)
    for (int Index = 0; Index < 2; ++Index)
      this->addServer(Zone);
  for (const std::string &Zone : Zones)
    this->addNode("i-" + Zone, Zone, 1);
  // With two large instances in its zone, a small one is a standby.
  this->addNode("j-" + Zones[0], Zones[0], 1);
  this->addNode("small-" + Zones[0], Zones[0], 0.1);
  this->extendDisturbance(Clock::duration::zero());
  for (int Index = 0; Index < 400; ++Index)
    this->step();
}

void SoakFleet::addNode(const std::string &Name, const std::string &Zone,
                        double CpuShare) {
  auto Item = std::make_unique<Node>();
  Item->Name = Name;
  Item->Zone = Zone;
  Item->CpuShare = CpuShare;
  for (std::string *Address : {&Item->CallerAddress, &Item->PeerAddress}) {
    this->ReservedPorts.push_back(reservePort(this->SharedContext));
    *Address =
        "127.0.0.1:" +
        std::to_string(this->ReservedPorts.back().local_endpoint().port());
  }
  this->startNode(*Item);
  this->Nodes.push_back(std::move(Item));
}

SoakFleet::~SoakFleet() {
  this->Nodes.clear();
  Clock::resume();
}

bool SoakFleet::chance(double Probability) {
  return std::uniform_real_distribution<>()(this->Random) < Probability;
}

std::size_t SoakFleet::pickIndex(std::size_t Size) {
  return std::uniform_int_distribution<std::size_t>(0, Size - 1)(this->Random);
}

Clock::duration SoakFleet::randomDuration(std::chrono::milliseconds Min,
                                          std::chrono::milliseconds Max) {
  return std::chrono::milliseconds(std::uniform_int_distribution<>(
      int(Min.count()), int(Max.count()))(this->Random));
}

void SoakFleet::extendDisturbance(Clock::duration Time) {
  this->UndisturbedFrom =
      std::max(this->UndisturbedFrom, Clock::now() + Time + RecoveryTime);
}

void SoakFleet::extendDisturbance(Node &Item, Clock::duration Time) {
  Item.DisturbedUntil =
      std::max(Item.DisturbedUntil, Clock::now() + Time + RecoveryTime);
}

void SoakFleet::logFault(const std::string &Fault) {
  this->Faults.push_back(seconds(Clock::now()) + " " + Fault);
}

void SoakFleet::reportViolation(const std::string &Violation) {
  this->Violations.push_back(seconds(Clock::now()) + " " + Violation);
}

void SoakFleet::startNode(Node &Item) {
  GatewaySettings Settings = testSettings();
  Settings.Name = Item.Name;
  Settings.Zone = Item.Zone;
  Settings.CpuShare = Item.CpuShare;
  Settings.Region = regionOf(Item.Zone);
  Settings.CallerAddress = Item.CallerAddress;
  Settings.PeerAddress = Item.PeerAddress;
  Settings.RegionByZone.clear();
  for (const std::string &Zone : Zones)
    Settings.RegionByZone[Zone] = regionOf(Zone);
  Settings.Bounds.RevocationTime = RevocationTime;
  Settings.Bounds.DrainTime = MaxDrainDelay;
  Settings.Bounds.Quota = {QuotaWindow, 0.1, 20};
  Item.Context = std::make_unique<asio::io_context>();
  Item.Instance = std::make_unique<SteeringInstance>(
      *Item.Context, Settings, this->storeFor(Item), testCodec(this->Configs),
      this->usageApiFor(Item));
  Item.Stopping = false;
  Item.StartedAt = Clock::now();
  if (!Item.Instance->start())
    this->reportViolation("an instance could not listen again");
}

void SoakFleet::addServer(const std::string &Zone) {
  const std::string Id = "s" + std::to_string(++this->LastServer);
  Server &Item = this->Servers[Id];
  Item.Zone = Zone;
  Item.Http = std::make_unique<HttpServer>(
      this->SharedContext,
      [this, Id](HttpMessage Message, const CancellationPtr &) {
        return this->serve(Id, std::move(Message));
      });
  if (!Item.Http->listen("127.0.0.1:0"))
    std::abort();
  Item.Address = "127.0.0.1:" + std::to_string(Item.Http->port());
  this->putServer(Id);
}

asio::awaitable<HttpMessage> SoakFleet::serve(std::string Id,
                                              HttpMessage Message) {
  const std::string *Expected = findHeader(Message.Headers, "Expect-Server");
  if (!Expected || *Expected != Id) {
    HttpMessage Reply = InstanceTestBed::notRunAnswer(Message);
    Reply.Status = 421;
    co_return Reply;
  }
  if (this->ServersFail && this->chance(0.03))
    co_return InstanceTestBed::notRunAnswer(Message);
  if (!this->Servers.contains(Id)) {
    const std::string *Request = findHeader(Message.Headers, "Id");
    const auto Gone = this->GoneServers.find(Id);
    if (Request && Gone != this->GoneServers.end())
      this->checkServerMayServe(Id, Gone->second,
                                *this->Requests.at(*Request).Entry);
    co_return InstanceTestBed::notRunAnswer(Message);
  }
  this->checkRun(Id, Message);
  if (Message.Target == CrashingPath)
    this->crashServer(Id);
  if (Message.Target == SlowPath)
    co_await sleepFor(this->randomDuration(std::chrono::milliseconds(300),
                                           std::chrono::milliseconds(500)));
  else
    co_await sleepFor(this->randomDuration(std::chrono::milliseconds(20),
                                           std::chrono::milliseconds(120)));
  HttpMessage Reply = InstanceTestBed::goodAnswer(Message);
  const auto Found = this->Servers.find(Id);
  if (Found != this->Servers.end() &&
      Clock::now() < Found->second.LimitedUntil) {
    const std::string *Request = findHeader(Message.Headers, "Id");
    Found->second.ToldAt.try_emplace(this->Requests.at(*Request).Entry,
                                     Clock::now());
    Reply.Headers.push_back({"Limit", std::to_string(ServerLimit)});
  }
  if (this->ServersFail && this->chance(0.02))
    Reply.Status = 500;
  // An answer to another request, which the instance must not return.
  if (this->ServersFail && this->chance(0.02))
    for (HttpHeader &Field : Reply.Headers)
      if (Field.Name == "Id")
        Field.Value = "another";
  co_return Reply;
}

asio::awaitable<void> SoakFleet::call(std::string Id, std::string Path,
                                      const Node &Entry) {
  const int Kills = Entry.Kills;
  HttpConnectionPool::Call Call;
  Call.Address = Entry.CallerAddress;
  Call.Request.Method = "GET";
  Call.Request.Target = std::move(Path);
  Call.Request.Headers = {{"Host", "h"},
                          {"Id", Id},
                          {"Key", this->Requests.at(Id).Key},
                          {"Workspace", "forged"},
                          {"Deadline", "1500"}};
  if (this->Requests.at(Id).LongBody) {
    Call.Request.Method = "POST";
    // Each body has a fingerprint of its own.
    Call.Request.Body = Id + std::string(LongBodyBytes, 'x');
  }
  Call.ConnectDeadline = Clock::now() + std::chrono::seconds(1);
  Call.Deadline = Clock::now() + CallerTimeout;
  const auto Result = co_await this->CallerLinks.call(std::move(Call));
  Request &Item = this->Requests.at(Id);
  Item.Ended = true;
  if (Result.Error) {
    // Callers use open connections until the process is gone; what it passed on
    // to a server it must answer.
    if (Item.Runs > 0 && Entry.Kills == Kills &&
        Result.Error != make_error_code(Errc::Timeout))
      this->reportViolation("request " + Id + " ran, and " + Entry.Name +
                            " closed the connection without an answer");
    co_return;
  }
  Item.Status = Result.Response.Status;
  if (Item.Since > 0) {
    this->checkConfiguration(Item, Entry);
    this->checkConfigurationInForce(Item, Entry);
  }
  this->checkRefusedKey(Item, Entry);
  const std::string *Echo = findHeader(Result.Response.Headers, "Id");
  if (Item.Status == 200 &&
      (!findHeader(Result.Response.Headers, "Stamp") ||
       Result.Response.Body != "whole body" || !Echo || *Echo != Id))
    this->reportViolation("request " + Id +
                          " got an answer to another request");
}

const SoakFleet::Node &SoakFleet::pickEntry() {
  const double Share =
      Clock::now() < this->StandbyBurstUntil ? StandbyBurstShare : StandbyShare;
  if (this->chance(Share))
    return *this->Nodes.back();
  return *this->Nodes[this->pickIndex(this->Nodes.size() - 1)];
}

void SoakFleet::sendRequests() {
  this->watchConfiguration();
  const int Count = std::poisson_distribution<>(
      Clock::now() < this->QuietUntil ? QuietRequestsPerStep
                                      : RequestsPerStep)(this->Random);
  for (int Index = 0; Index < Count; ++Index) {
    const std::string Id = "r" + std::to_string(++this->LastId);
    Request &Item = this->Requests[Id];
    Item.SentAt = Clock::now();
    const std::size_t Kind = this->pickIndex(5);
    Item.Unsafe = Kind < 2;
    if (Kind != 4)
      Item.Key = "k" + std::to_string(this->pickIndex(3));
    std::string Path = "/safe/x";
    if (Item.Unsafe)
      Path = "/order/x";
    else if (Kind == 4)
      Path = "/open/x";
    if (Kind == 4 && Clock::now() >= this->NextCrashingRequest) {
      this->NextCrashingRequest = Clock::now() + CrashingRequestPeriod;
      Path = CrashingPath;
      Item.Crashing = true;
    }
    if (Kind == 4 && !Item.Crashing && this->chance(5 * NewestRouteShare)) {
      Item.Since = this->ConfigVersion;
      Path = "/since-" + std::to_string(Item.Since) + "/x";
    }
    const Node &Entry = this->pickEntry();
    Item.Entry = &Entry;
    Item.EntryKills = Entry.Kills;
    if (!Entry.Instance) {
      Item.Ended = true;
      continue;
    }
    asio::co_spawn(this->SharedContext, this->call(Id, Path, Entry),
                   asio::detached);
  }
}

void SoakFleet::step() {
  Clock::advance(Step);
  this->stopDueNodes();
  this->restartNodes();
  this->maintainRestores();
  this->maintainServers();
  std::vector<asio::io_context *> Running{&this->SharedContext};
  for (const auto &Item : this->Nodes)
    if (Item->Context && Clock::now() >= Item->FrozenUntil)
      Running.push_back(Item->Context.get());
  runReady(Running);
}

void SoakFleet::runWithFaults(Clock::duration Time, bool WithRestores) {
  const int StepsPerFault = int(FaultPeriod / Step);
  for (int Index = 0; Index < int(Time / Step); ++Index) {
    if (Index % StepsPerFault == StepsPerFault - 1)
      this->injectFault(WithRestores);
    this->sendRequests();
    this->step();
  }
}

void SoakFleet::runWithoutFaults(Clock::duration Time) {
  this->logFault("calm");
  this->CalmSince = std::min(this->CalmSince, Clock::now());
  this->StoreDownUntil = this->AnswersLostUntil = this->UsageApiDownUntil =
      this->UsageApiTroubleUntil = this->QuietUntil = Clock::time_point{};
  this->ServersFail = false;
  if (this->Restores.ReturnAt != Clock::time_point::max())
    this->returnStore();
  this->Restores.LeaveAt.clear();
  for (const auto &Item : this->Nodes)
    Item->DisconnectedUntil = Item->FrozenUntil = Item->ReadsStallUntil =
        Item->WritesLateUntil = Clock::time_point{};
  for (const auto &Item : this->Evacuated)
    this->Tables.erase("orders", Item.first);
  this->Evacuated.clear();
  for (int Index = 0; Index < int(Time / Step); ++Index) {
    this->sendRequests();
    this->step();
  }
}

} // namespace rr
