#include "instance/InstanceCore.h"

#include "base/Timer.h"
#include "instance/StoreCounter.h"
#include "keys/Authentication.h"
#include "limits/LimitsJson.h"
#include "logging/EventLog.h"
#include "membership/MemberRows.h"
#include "model/FleetConfig.h"
#include "telemetry/Metrics.h"
#include "telemetry/SpanExporter.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <utility>

namespace rr {

namespace {

using nlohmann::json;

const std::string LookupPath = "/.redwingrack/lookup";

constexpr std::chrono::milliseconds TickPeriod{50};
constexpr std::chrono::milliseconds RoutingPeriod{100};
constexpr std::chrono::seconds AnnouncePeriod{60};
constexpr std::chrono::seconds ClaimReleasePeriod{3};
constexpr std::chrono::seconds ControlCallTimeout{1};
constexpr std::chrono::milliseconds StopCheckPeriod{50};
constexpr int MostRowAttempts = 3;

Member memberOf(const InstanceOptions &Options) {
  Member Result;
  Result.Name = Options.Name;
  Result.Zone = Options.Zone;
  Result.CallerAddress = Options.CallerAddress;
  Result.PeerAddress = Options.PeerAddress;
  Result.Incarnation = Options.Incarnation;
  return Result;
}

std::string holderOf(const InstanceOptions &Options) {
  return Options.Name + "#" + std::to_string(Options.Incarnation);
}

} // namespace

InstanceCore::InstanceCore(asio::any_io_executor Executor,
                           InstanceOptions Options, Platform Store,
                           PeerNetwork Network, BackendNetwork Servers,
                           Metrics &Counters, SpanExporter *Spans)
    : Executor(Executor), Options(std::move(Options)),
      Store(countStoreCalls(std::move(Store), Counters, Spans)),
      Network(std::move(Network)), Servers(std::move(Servers)),
      Counters(Counters), Spans(Spans),
      State(
          Executor, memberOf(this->Options), this->Store,
          [this](std::string Peer, std::string Method, json Body) {
            return this->callControl(std::move(Peer), std::move(Method),
                                     std::move(Body));
          },
          this->Options.RandomSeed),
      Links(this->State.Control, this->Network, this->Options.Seeds),
      Guard(holderOf(this->Options)), Claims(this->Store),
      Limits(this->State, this->Network, Executor, Counters),
      Reports(this->State, this->Network, this->Limits, Executor),
      Dispatch(this->State, this->Network, this->Servers, this->Links,
               this->Guard, Executor, Counters, Spans),
      Work(this->State, this->Store, this->Reports, Executor,
           holderOf(this->Options), [this] { this->onControlChange(); }),
      Loads(this->State, this->Servers, Executor),
      Lookups(this->State, this->Options.LookupMaxAge),
      Operators(this->State, this->Work, Counters),
      Pipeline(this->requestServices(), Counters, Spans) {
  std::vector<std::string> SeedNames;
  for (const PeerSeed &Seed : this->Options.Seeds)
    SeedNames.push_back(Seed.Name);
  this->State.Control.setSeeds(std::move(SeedNames));
  this->Reports.onStop(
      [this](const VersionStop &Stop) { this->Dispatch.stopVersion(Stop); });
  this->State.Control.onShares(
      [this](std::uint64_t Epoch, std::string Peer) -> asio::awaitable<void> {
        if (Peer.empty()) {
          co_await this->Work.followShares(Epoch);
          co_return;
        }
        const auto Answer =
            co_await this->callControl(Peer, "fetch_shares", json::object());
        if (!Answer)
          co_return;
        const auto Allocation = parseShareAllocation(*Answer);
        if (Allocation)
          adoptShares(this->State, *Allocation, Clock::now());
      });
}

void InstanceCore::start() {
  const auto Spawn = [this](asio::awaitable<void> Task) {
    asio::co_spawn(this->Executor, std::move(Task), asio::detached);
  };
  Spawn(this->runTicks());
  Spawn(this->runRouting());
  Spawn(this->runAnnouncements());
  Spawn(this->runClaimReleases());
  Spawn(this->Links.run());
  Spawn(this->Loads.run());
  Spawn(this->Reports.run());
  Spawn(this->Work.run());
  Spawn(this->Work.runPlans());
}

void InstanceCore::stopNow() {
  this->Stopping = true;
  this->Links.stop();
  this->Loads.stop();
  this->Reports.stop();
  this->Work.stop();
}

asio::awaitable<Outcome<json>>
InstanceCore::callControl(std::string Peer, std::string Method, json Body) {
  return this->Network.Call(std::move(Peer), std::move(Method), std::move(Body),
                            Clock::now() + ControlCallTimeout, nullptr);
}

asio::awaitable<void> InstanceCore::runTicks() {
  while (!this->Stopping) {
    this->State.Control.tick();
    const Clock::time_point Now = Clock::now();
    refreshProof(this->State, Now);
    const bool Fresh = isFresh(this->State, Now);
    if (Fresh != this->WasFresh)
      logEvent(Fresh ? Event::FreshnessGained : Event::FreshnessLost);
    this->WasFresh = Fresh;
    const bool StoreDown = this->State.Control.isStoreDown();
    if (StoreDown != this->WasStoreDown)
      logEvent(StoreDown ? Event::StoreUnavailable : Event::StoreAvailable);
    this->WasStoreDown = StoreDown;
    this->EverFresh = this->EverFresh || Fresh;
    co_await sleepFor(TickPeriod);
  }
}

asio::awaitable<void> InstanceCore::runRouting() {
  while (!this->Stopping) {
    const Clock::time_point Now = Clock::now();
    const auto Config = configOf(this->State);
    // A cut-off instance keeps its servers, for open routes only: keyed
    // requests need the freshness proof.
    const bool MayOwn = this->EverFresh && !this->State.Leaving;
    if (Config)
      updateRouting(this->State.Routing, *Config, this->State.Control.members(),
                    MayOwn, Now);
    if (Config && Config->Version != this->ConfigSeen) {
      this->ConfigSeen = Config->Version;
      this->Dispatch.configure();
      logEvent(Event::ConfigurationAdopted,
               {{"version", std::to_string(Config->Version)}});
    }
    this->handOver(Now);
    this->Lookups.update(Now);
    this->noteEjections();
    this->updateMetrics(Now);
    co_await sleepFor(RoutingPeriod);
  }
}

void InstanceCore::handOver(Clock::time_point Now) {
  auto &Open = this->State.Routing.HandOvers;
  const std::string &Self = this->State.Control.members().self().Name;
  for (auto Item = Open.begin(); Item != Open.end();) {
    const auto Server = this->State.Routing.Routes->servers().find(*Item);
    const std::string Owner(this->State.Routing.Owners.ownerOf(*Item));
    if (Server && Server->Outstanding > 0) {
      ++Item;
      continue;
    }
    if (!Owner.empty() && Owner != Self)
      this->Network.Send(Owner, "ownerAck",
                         {{"server", *Item}, {"previous", Self}});
    Item = Open.erase(Item);
  }
  // The process of an instance that ended sends nothing any more.
  for (const auto &[Name, Entry] : this->State.Control.members().entries())
    if (!isCounted(Entry.Record))
      this->State.Routing.Owners.instanceEnded(Name);
}

asio::awaitable<void> InstanceCore::announce() {
  InstanceRecord Self;
  Self.Name = this->Options.Name;
  Self.Zone = this->Options.Zone;
  Self.CallerAddress = this->Options.CallerAddress;
  Self.PeerAddress = this->Options.PeerAddress;
  Self.Leaving = this->State.Leaving;
  co_await this->Store.AnnounceInstance(Self);
}

asio::awaitable<void> InstanceCore::runAnnouncements() {
  Clock::time_point Next = Clock::now();
  while (!this->Stopping) {
    if (Clock::now() >= Next) {
      co_await this->announce();
      Next = Clock::now() + AnnouncePeriod;
    }
    co_await sleepFor(std::chrono::milliseconds(500));
  }
}

asio::awaitable<void> InstanceCore::runClaimReleases() {
  while (!this->Stopping) {
    co_await sleepFor(ClaimReleasePeriod);
    co_await this->Claims.retryReleases();
  }
}

void InstanceCore::onControlChange() {
  // Linked instances read the change at once in place of at their next turn.
  this->Dispatch.publish("controlHint", json::object());
}

KeyDecision InstanceCore::authenticate(const std::string &Key) {
  const Freshness Proof{Clock::now(), this->State.Control.validUntil()};
  const Authentication Result =
      rr::authenticate(this->State.Control.keys(), Key, Proof);
  switch (Result.Result) {
  case Authentication::Verdict::Accepted:
    return {KeyDecision::Kind::Accepted, Result.Workspace};
  case Authentication::Verdict::Withdrawn:
    return {KeyDecision::Kind::Withdrawn, {}};
  case Authentication::Verdict::StaleView:
    return {KeyDecision::Kind::Stale, {}};
  case Authentication::Verdict::UnknownKey:
    break;
  }
  return {};
}

void InstanceCore::noteAdmitted(const DispatchRequest &Request) {
  const auto Config = configOf(this->State);
  const std::string Region = regionOf(this->State, this->Options.Zone);
  for (const TrafficShift &Shift : Config->Shifts)
    if (Shift.Workspace == Request.Workspace && Shift.ToRegion != Region &&
        (Shift.FromRegion.empty() || Shift.FromRegion == Region))
      this->Reports.noteShifted(
          Request.Service, Shift.Share,
          static_cast<double>(Request.Body.size() + Request.Target.size()));
}

RequestServices InstanceCore::requestServices() {
  RequestServices Result;
  Result.Config = [this] { return configOf(this->State); };
  Result.Authenticate = [this](const std::string &Key) {
    return this->authenticate(Key);
  };
  Result.IsIssuedKey = [this](const std::string &Text) {
    return this->State.Control.keys().find(hashOfKey(Text)).has_value();
  };
  Result.Admit = [this](std::string Workspace, Clock::time_point Deadline) {
    return this->Limits.admit(std::move(Workspace), Deadline);
  };
  Result.Dispatch = [this](DispatchRequest Request) {
    return this->Dispatch.dispatch(std::move(Request));
  };
  Result.IsSuspect = [this](const std::string &Fingerprint) {
    return this->Guard.check(Fingerprint, Clock::now()) !=
           CrashGuard::Verdict::Allowed;
  };
  Result.OnAdmitted = [this](const DispatchRequest &Request) {
    this->noteAdmitted(Request);
  };
  Result.Claims = &this->Claims;
  return Result;
}

asio::awaitable<HttpResponse>
InstanceCore::handleCaller(HttpServerRequest Request) {
  if (Request.Path == LookupPath) {
    const std::string *TraceParent = findHeader(Request.Headers, "traceparent");
    const auto Caller = parseTraceParent(TraceParent ? *TraceParent : "");
    SpanScope Span(this->Spans, "look-up", Caller ? &*Caller : nullptr);
    this->Counters.add(Metric::Lookups);
    std::string Client = queryParameter(Request, "address");
    if (Client.empty())
      Client = Request.RemoteAddress;
    co_return this->Lookups.answer(Client);
  }
  ++this->Running;
  HttpResponse Response = co_await this->Pipeline.handle(std::move(Request));
  --this->Running;
  co_return Response;
}

void InstanceCore::onMessage(const std::string &, const std::string &Method,
                             const json &Body) {
  if (Method == "reports")
    this->Reports.onReports(Body);
  else if (Method == "spillGrant")
    this->Reports.onSpillGrant(Body);
  else if (Method == "shareRelease")
    this->Limits.onShareMove(Body);
  else if (Method == "versionStop")
    this->Dispatch.onVersionStop(Body);
  else if (Method == "suspect")
    this->Dispatch.onSuspect(Body);
  else if (Method == "controlHint")
    this->State.Control.hint();
  else if (Method == "ownerAck" && Body.is_object())
    this->State.Routing.Owners.acknowledge(Body.value("server", ""),
                                           Body.value("previous", ""));
}

asio::awaitable<Outcome<json>>
InstanceCore::onCall(std::string Peer, std::string Method, json Body,
                     Clock::time_point Deadline, CancellationPtr Cancel) {
  if (Method == "forward" || Method == "trial") {
    ++this->Running;
    Outcome<json> Result = failure(Errc::Unavailable);
    if (Method == "forward")
      Result = co_await this->Dispatch.onForward(std::move(Body), Deadline,
                                                 std::move(Cancel));
    else
      Result = co_await this->Dispatch.onTrial(std::move(Body), Deadline,
                                               std::move(Cancel));
    --this->Running;
    co_return Result;
  }
  if (Method == "suspect") {
    this->Dispatch.onSuspect(Body);
    co_return json::object();
  }
  if (Method == "shareMove")
    co_return this->Limits.onShareMove(Body);
  if (Method == "spillAsk")
    co_return this->Reports.onSpillAsk(Body);
  if (Method == "fetch_shares") {
    if (!this->State.Allocation)
      co_return failure(Errc::NotFound);
    co_return formatShareAllocation(*this->State.Allocation);
  }
  co_return this->State.Control.handle(Method, Body);
}

asio::awaitable<void> InstanceCore::recordLeft() {
  for (int Attempt = 0; Attempt < MostRowAttempts; ++Attempt) {
    const auto Written = co_await writeMemberRow(
        this->Store, this->State.Control.members().self());
    // Another writer of the row is the only fault that a repeat helps with.
    if (Written || Written.error() != Errc::Conflict)
      break;
  }
  // The announcement at the beginning of the stop may have failed.
  co_await this->announce();
}

asio::awaitable<void> InstanceCore::leave() {
  logEvent(Event::InstanceLeaving);
  this->State.Leaving = true;
  this->State.Control.members().setOwnState(MemberState::Leaving);
  co_await this->announce();
  const Clock::time_point GraceEnd = Clock::now() + this->Options.StopGrace;
  co_await sleepFor(this->Options.StopGrace);
  co_await this->Limits.surrender();
  const Clock::time_point End = GraceEnd + this->Options.LongestStop;
  while (this->Running > 0 && Clock::now() < End)
    co_await sleepFor(StopCheckPeriod);
  if (this->Running > 0)
    logEvent(Event::StopCutRequests,
             {{"requests", std::to_string(this->Running)}});
  this->State.Control.members().setOwnState(MemberState::Left);
  co_await this->recordLeft();
  // One more round of heartbeats tells the others.
  co_await sleepFor(std::chrono::milliseconds(1200));
  this->stopNow();
}

} // namespace rr
