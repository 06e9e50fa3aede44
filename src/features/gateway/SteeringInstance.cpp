#include "gateway/SteeringInstance.h"

#include "base/Random.h"
#include "gateway/GatewayReplies.h"
#include "gateway/SteeringMetrics.h"
#include "gateway/SteeringPaces.h"
#include "http1/MessageText.h"
#include "logging/EventLog.h"
#include "steering/RegionMix.h"
#include "tables/BootTime.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>

namespace rr {

namespace {

/// Orders that were known in full this lately are enough to answer for a
/// standby.
constexpr Clock::duration OldestOrders = std::chrono::milliseconds(2600);
constexpr Clock::duration AnnouncePeriod = std::chrono::milliseconds(2400);
constexpr Clock::duration BeginPoll = std::chrono::milliseconds(10);
/// A fleet that starts has written its rows within this time.
constexpr Clock::duration FleetStartTime = std::chrono::seconds(2);
/// A standby is ready for this long after a read.
constexpr Clock::duration StandbyReadyTime = std::chrono::seconds(20);
constexpr Clock::duration CatchUpRetry = std::chrono::milliseconds(300);
constexpr Clock::duration MaintenancePeriod = std::chrono::milliseconds(250);
/// A stopping instance takes requests until callers have a new list, but no
/// longer than half of the stop time, so that long requests still end. Both
/// are parts of the whole stop time.
constexpr double AcceptPart = 0.46;
constexpr double LastPart = 0.95;
constexpr Clock::duration StopPoll = std::chrono::milliseconds(50);

Clock::duration part(Clock::duration Whole, double Part) {
  return Clock::duration(Clock::rep(double(Whole.count()) * Part));
}

} // namespace

SteeringInstance::SteeringInstance(asio::io_context &Io,
                                   const GatewaySettings &Settings,
                                   TableStore Tables, PlatformCodec Names)
    : Context(Io), Store(countCalls(std::move(Tables), this->Counters)),
      Codec(std::move(Names)), State(Settings),
      Links(Io, {Settings.Name, Settings.Zone, Settings.PeerAddress}),
      Quotas(this->State, this->Links, this->Counters),
      Requests(Io, this->State, this->Quotas, this->Counters),
      Forwarder(Io, this->State),
      Callers(Io,
              [this](HttpMessage Request, CancellationPtr Cancel) {
                return this->answerCaller(std::move(Request),
                                          std::move(Cancel));
              }),
      Readiness(Io,
                [this](HttpMessage Request, const CancellationPtr &) {
                  return this->answerReadiness(std::move(Request));
                }),
      Lookups(Io,
              [this](HttpMessage Request, const CancellationPtr &) {
                return this->answerLookup(std::move(Request));
              }),
      MetricReads(Io,
                  [this](HttpMessage Request, const CancellationPtr &) {
                    return this->answerMetrics(std::move(Request));
                  }),
      Orders(this->State, this->Codec), Backends(this->State, this->Codec),
      Members(this->State, randomToken().substr(0, 8)),
      Moves(this->State, this->Members, this->Store, this->Codec),
      Relay(this->Links, this->Store,
            [this](const std::string &Table) -> std::optional<RelayPeer> {
              const MemberRecord *Reader = this->State.Members.tableReader(
                  this->State.Settings.Region, Table);
              if (!Reader)
                return std::nullopt;
              return RelayPeer{Reader->Name, Reader->PeerAddress};
            }),
      RelayedStore(this->Relay.tables()),
      OrderTable(
          Io, this->RelayedStore,
          {this->Codec.OrderTable, OrderWait, Clock::duration{0}},
          {[this](const TableRows &Rows) { this->Orders.applySnapshot(Rows); },
           [this](const TableRows &Rows) { this->Orders.applyChanges(Rows); },
           [this](Clock::time_point AsOf) { this->Orders.confirm(AsOf); },
           [this] { this->noteStoreReturned(); }}),
      BackendTable(Io, this->RelayedStore,
                   {this->Codec.BackendTable, BackendPeriod, BackendPeriod},
                   {[this](const TableRows &Rows) {
                      this->Backends.applySnapshot(Rows, this->isSettling(),
                                                   Clock::now());
                    },
                    [this](const TableRows &Rows) {
                      this->Backends.applyChanges(Rows, this->isSettling(),
                                                  Clock::now());
                    },
                    nullptr, [this] { this->noteStoreReturned(); }}),
      MemberTable(
          Io, this->RelayedStore,
          // The pace follows when it is known whether callers come here.
          {MemberRegistry::Table, MemberPeriod, StandbyMemberPeriod},
          {[this](const TableRows &Rows) { this->Members.applySnapshot(Rows); },
           [this](const TableRows &Rows) { this->Members.applyChanges(Rows); },
           nullptr, [this] { this->noteStoreReturned(); }}),
      AnnounceTimer(Io) {
  this->Callers.setRunsAhead([this](const HttpMessage &Request) {
    const std::string *Host = findHeader(Request.Headers, "Host");
    const SteeringRoute *Route =
        this->State.Config
            ? findRoute(*this->State.Config, Host ? *Host : "", Request.Target)
            : nullptr;
    return Route && isRepeatable(Route->Kind);
  });
  this->Orders.onConfiguration([this](const SteeringConfig &Config) {
    this->applyLimits(Config.Limits);
  });
  this->Backends.onLeft([this](const std::string &Address) {
    this->Requests.links().drop(Address);
  });
  const auto WakeUp = [this](const std::string &) {
    this->AnnounceTimer.cancel();
  };
  this->Relay.setPrompt(this->Codec.OrderTable);
  this->Relay.setSnapshotSource(
      {[this] {
         return this->State.Standby &&
                (this->State.PeerSecret.empty() ||
                 this->State.Members.servingPeer(this->State.Settings.Region));
       },
       [this]() -> std::optional<RelayPeer> {
         const MemberRecord *Peer =
             this->State.Members.servingPeer(this->State.Settings.Region);
         if (!Peer)
           return std::nullopt;
         return RelayPeer{Peer->Name, Peer->PeerAddress};
       }});
  this->Requests.onVersionStopped(WakeUp);
  this->Members.onVersionStopped(WakeUp);
}

Outcome<void> SteeringInstance::start() {
  const GatewaySettings &Settings = this->State.Settings;
  struct Listener {
    HttpServer *Server;
    const std::string &Address;
  };
  for (const Listener &Item : {Listener{&this->Callers, Settings.CallerAddress},
                               {&this->Readiness, Settings.ReadinessAddress},
                               {&this->Lookups, Settings.LookupAddress}}) {
    if (Item.Address.empty())
      continue;
    if (auto Listening = Item.Server->listen(Item.Address); !Listening)
      return Listening;
  }
  logEvent(Event::SteeringStarted, {{"instance", Settings.Name},
                                    {"zone", Settings.Zone},
                                    {"callers", Settings.CallerAddress}});
  // An instance serves without its metrics.
  if (!Settings.MetricsAddress.empty() &&
      !this->MetricReads.listen(Settings.MetricsAddress))
    logEvent(Event::MetricsUnavailable, {{"address", Settings.MetricsAddress}});
  this->StartedAt = Clock::now();
  asio::co_spawn(this->Context, this->MemberTable.run(), asio::detached);
  asio::co_spawn(this->Context, this->maintain(), asio::detached);
  asio::co_spawn(this->Context, this->begin(), asio::detached);
  return {};
}

asio::awaitable<void> SteeringInstance::begin() {
  while (!this->State.MembersKnown && !this->Stopped)
    co_await sleepFor(BeginPoll);
  // When a whole fleet starts, the large instances come forward first, so that
  // the others learn that they are not needed before they do anything.
  const GatewaySettings &Settings = this->State.Settings;
  if (!this->State.Members.hasOtherInZone(Settings.Zone)) {
    co_await sleepFor(
        part(FleetStartTime, 1 - std::clamp(Settings.Capacity, 0.0, 1.0)));
    co_await this->MemberTable.refresh();
  }
  this->reviewStandby(Clock::now());
  asio::co_spawn(this->Context, this->OrderTable.run(), asio::detached);
  asio::co_spawn(this->Context, this->BackendTable.run(), asio::detached);
  co_await this->announce();
}

void SteeringInstance::noteStoreReturned() {
  for (TableWatch *Table :
       {&this->OrderTable, &this->BackendTable, &this->MemberTable})
    Table->retrySoon();
}

bool SteeringInstance::isSettling() const {
  return this->BackendTable.contact().isSettling(
      Clock::now(),
      {&this->OrderTable.contact(), &this->MemberTable.contact()});
}

bool SteeringInstance::isReady() const {
  if (!this->State.Config || !this->State.BackendsKnown ||
      !this->State.MembersKnown || this->State.Leaving)
    return false;
  // A standby proves its keys when a request comes.
  if (this->State.Standby)
    return Clock::now() < this->OrderTable.readStart() + StandbyReadyTime;
  const Clock::time_point Now = bootTime();
  return Now < this->State.KeysValidUntil &&
         this->State.Tenure.mayUseShare(Now);
}

void SteeringInstance::setBounds(const SteeringBounds &Bounds) {
  this->State.Settings.Bounds = Bounds;
}

void SteeringInstance::applyLimits(const ClientLimits &Limits) {
  ServerLimits Applied;
  Applied.Message = {Limits.MaxHeaderBytes, Limits.MaxBodyBytes,
                     this->State.BodyBytes};
  Applied.RequestTime = Limits.HeaderTimeout;
  Applied.IdleTime = Limits.IdleTimeout;
  this->Callers.setLimits(Applied);
}

asio::awaitable<HttpMessage>
SteeringInstance::answerCaller(HttpMessage Request, CancellationPtr Cancel) {
  const Clock::time_point Now = bootTime();
  const bool OldOrders = Now - this->State.OrdersAsOf > OldestOrders;
  const bool Serves = !this->State.Standby &&
                      this->State.Tenure.mayUseShare(Now) &&
                      Now < this->State.KeysValidUntil;
  const std::uint64_t Version =
      this->State.Config ? this->State.Config->Version : 0;
  const auto Least = StandbyForwarder::takeMark(Request);
  if (Least) {
    if (!Serves || OldOrders || Version < *Least)
      co_return StandbyForwarder::declined();
    HttpMessage Answer =
        co_await this->Requests.handle(std::move(Request), std::move(Cancel));
    StandbyForwarder::addVersion(Answer, Version);
    co_return Answer;
  }
  this->noteRequest(Clock::now());
  if (this->State.MembersKnown && !Serves) {
    auto Answer = co_await this->Forwarder.forwardRequest(Request, Cancel);
    if (Answer)
      co_return std::move(*Answer);
    // Orders may be new that a standby has not read. Without the store there
    // are none to be read.
    if (this->State.Standby || (OldOrders && !this->OrderTable.isFailing())) {
      const bool Current = co_await this->catchUp();
      if (!Current)
        co_return refusalReply(503, "the store does not answer", CatchUpRetry);
    }
  }
  co_return co_await this->Requests.handle(std::move(Request),
                                           std::move(Cancel));
}

asio::awaitable<void> SteeringInstance::writeSecret() {
  std::vector<TableWrite> Writes;
  Writes.push_back(this->Members.secretRow());
  // Another instance may write one first, which is then read.
  const auto Written = co_await this->Store.Commit(std::move(Writes));
  if (!Written && Written.error() != make_error_code(Errc::Conflict))
    logEvent(Event::OwnRowNotWritten, {{"error", Written.error().message()}});
}

asio::awaitable<void> SteeringInstance::announce() {
  while (!this->Stopped) {
    bool Failed = false;
    this->reviewStandby(Clock::now());
    // Nobody needs to know of an instance that stands by.
    if (!this->State.Standby || this->Members.isNamedToOthers()) {
      std::vector<TableWrite> Writes;
      Writes.push_back(this->Members.ownRow(Clock::now()));
      const bool Standby = this->State.Standby;
      const Clock::time_point Start = bootTime();
      const auto Written = co_await this->Store.Commit(std::move(Writes));
      Failed = !Written;
      if (Written)
        this->Members.noteOwnRow(Start, Standby);
      else
        logEvent(Event::OwnRowNotWritten,
                 {{"error", Written.error().message()}});
      if (Written && this->State.PeerSecret.empty() && this->Moves.isLeader())
        co_await this->writeSecret();
      if (Written && this->State.Config && this->State.BackendsKnown)
        co_await this->Moves.step();
    }
    const bool Busy = this->Moves.isBusy() || !this->State.MembersKnown;
    asio::error_code Ignored;
    this->applyPace(Busy);
    const Clock::duration Usual =
        this->State.Standby ? StandbyPeriod : AnnouncePeriod;
    const bool Soon = (Busy || Failed) && !this->State.Standby;
    this->AnnounceTimer.expires_after(
        std::min(Soon ? BusyPeriod : Usual, this->joinWait()));
    co_await this->AnnounceTimer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
}

asio::awaitable<void> SteeringInstance::maintain() {
  while (!this->Stopped) {
    const Clock::time_point Now = Clock::now();
    this->Requests.links().dropExpired();
    const bool WasStarted = this->Links.isStarted();
    this->Links.start(this->State.PeerSecret);
    if (!WasStarted && this->Links.isStarted())
      this->applyPace(this->Moves.isBusy());
    // A standby judges the others as of its last read.
    if (!this->State.Standby)
      this->Members.advanceStoreTime(Now);
    this->reviewStandby(Now);
    this->Quotas.maintain(Now);
    this->State.ColdServers.expire(Now);
    this->Backends.settle(this->isSettling());
    if (this->State.Config)
      for (const auto &Item : this->State.Config->Services)
        this->State.Versions[Item.first].updatePresentVersions(
            this->State.Backends.versions(Item.first), Now);
    // Servers may still be registering when the instance becomes ready.
    if (this->State.Shifts.isIdle())
      this->State.Shifts.setInitialShares(
          regionMix(this->State.Backends.all(), this->State.Settings.Region));
    if (!this->WasReady && this->isReady()) {
      this->WasReady = true;
      logEvent(Event::SteeringReady);
    }
    co_await sleepFor(MaintenancePeriod);
  }
}

void SteeringInstance::beginStop(std::function<void()> Done) {
  if (this->State.Leaving)
    return;
  this->State.Leaving = true;
  logEvent(Event::SteeringLeaving,
           {{"running", std::to_string(this->Callers.activeRequests())}});
  this->AnnounceTimer.cancel();
  asio::co_spawn(this->Context, this->finish(std::move(Done)), asio::detached);
}

asio::awaitable<void> SteeringInstance::finish(std::function<void()> Done) {
  const Clock::duration Whole = this->State.Settings.Bounds.StopTime;
  const Clock::time_point Start = Clock::now();
  this->Callers.closeAfterAnswers();
  co_await sleepFor(part(Whole, AcceptPart));
  this->Callers.stopAccepting();
  this->Callers.closeIdle();
  while (Clock::now() - Start < part(Whole, LastPart) &&
         this->Callers.activeRequests() > 0)
    co_await sleepFor(StopPoll);
  if (this->Callers.activeRequests() > 0)
    logEvent(Event::StopCutRequests,
             {{"count", std::to_string(this->Callers.activeRequests())}});
  logEvent(Event::SteeringStopped);
  this->Stopped = true;
  this->Links.stop();
  Done();
}

} // namespace rr
