#include "gateway/SteeringInstance.h"

#include "base/Random.h"
#include "gateway/GatewayReplies.h"
#include "gateway/SteeringMetrics.h"
#include "gateway/SteeringPollPeriods.h"
#include "http1/MessageSerializer.h"
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

/// Time between two writes of the row of an instance in service.
constexpr Clock::duration AnnouncePeriod = std::chrono::milliseconds(2400);
constexpr Clock::duration MembersKnownPollPeriod =
    std::chrono::milliseconds(10);
/// Time within which all instances of a starting fleet have written their rows.
constexpr Clock::duration FleetStartTime = std::chrono::seconds(2);
/// A standby counts as ready for this long after a read of the orders.
constexpr Clock::duration StandbyReadyTime = std::chrono::seconds(20);
constexpr Clock::duration StoreRetryDelay = std::chrono::milliseconds(300);
constexpr Clock::duration MaintenancePeriod = std::chrono::milliseconds(250);
} // namespace

SteeringInstance::SteeringInstance(asio::io_context &Io,
                                   const GatewaySettings &Settings,
                                   TableStore PlatformStore,
                                   PlatformCodec Platform, UsageApi ReportUsage)
    : Context(Io),
      Store(withCallCounters(std::move(PlatformStore), this->Counters)),
      Codec(std::move(Platform)), State(Settings),
      Links(Io, linkOptions(this->State)),
      Quotas(this->State, this->Links, this->Counters),
      LoadSignal(this->State, this->Links),
      Suspects(Io, this->State, this->Store),
      RequestGateway(Io, this->State, this->Quotas, this->Counters),
      Forwarder(Io, this->State, this->Counters),
      CallerServer(Io,
                   [this](HttpMessage Request, CancellationPtr Cancel) {
                     return this->handleCaller(std::move(Request),
                                               std::move(Cancel));
                   }),
      ReadinessServer(Io,
                      [this](HttpMessage Request, const CancellationPtr &) {
                        return this->handleReadiness(std::move(Request));
                      }),
      LookupServer(Io,
                   [this](HttpMessage Request, const CancellationPtr &) {
                     return this->handleLookup(std::move(Request));
                   }),
      MetricsServer(Io,
                    [this](HttpMessage Request, const CancellationPtr &) {
                      return this->handleMetrics(std::move(Request));
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
          {this->Codec.OrderTable,
           orderLongPollTime(Settings.Bounds.ConfigurationTime),
           Clock::duration{0}},
          {[this](const TableRows &Rows) {
             this->Orders.applySnapshot(Rows);
             this->onOrdersRead(Rows.Version);
           },
           [this](const TableRows &Rows) { this->Orders.applyChanges(Rows); },
           [this](Clock::time_point AsOf) {
             this->Orders.confirmReadUntil(AsOf);
           },
           [this] { this->onStoreReturned(); }}),
      BackendTable(
          Io, this->RelayedStore,
          {this->Codec.BackendTable, BackendPollPeriod, BackendPollPeriod},
          {[this](const TableRows &Rows) {
             this->Backends.applySnapshot(Rows, this->isStoreRecovering(),
                                          Clock::now());
           },
           [this](const TableRows &Rows) {
             this->Backends.applyChanges(Rows, this->isStoreRecovering(),
                                         Clock::now());
           },
           [this](Clock::time_point CurrentUntil) {
             this->State.BackendsCurrentUntil = CurrentUntil;
           },
           [this] { this->onStoreReturned(); }}),
      MemberTable(
          Io, this->RelayedStore,
          // applyPollPeriods() replaces these once it is known whether the
          // instance is a standby.
          {MemberRegistry::Table, MemberPollPeriod, StandbyMemberPollPeriod},
          {[this](const TableRows &Rows) {
             this->Members.applySnapshot(Rows);
             this->Suspects.applySnapshot(Rows);
             if (this->Usage)
               this->Usage->duty().applySnapshot(Rows);
           },
           [this](const TableRows &Rows) {
             this->Members.applyChanges(Rows);
             this->Suspects.applyChanges(Rows);
             if (this->Usage)
               this->Usage->duty().applyChanges(Rows);
           },
           nullptr, [this] { this->onStoreReturned(); }}),
      OwnRow(this->State, this->Members, this->Store, this->MemberTable),
      AnnounceTimer(Io), ReliefTurn(Settings.Name) {
  this->divideConnectionBudget();
  this->CallerServer.setUploadFilter(
      [this](const HttpMessage &Head) { return this->refuseUpload(Head); });
  this->CallerServer.setPipelineFilter([this](const HttpMessage &Request) {
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
  this->Backends.onServerRemoved([this](const std::string &Address) {
    this->RequestGateway.links().closeIdle(Address);
  });
  this->Members.onRestored([this] {
    asio::co_spawn(this->Context, this->announceRestored(), asio::detached);
  });
  const auto WakeUp = [this](const std::string &) {
    this->AnnounceTimer.cancel();
  };
  this->Relay.setImmediateRelay(this->Codec.OrderTable);
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
  this->RequestGateway.setBackendReader(
      [this] { return this->refreshBackends(); });
  this->RequestGateway.onVersionStopped(WakeUp);
  if (ReportUsage)
    this->createUsageReporter(std::move(ReportUsage));
  this->RequestGateway.crashes().onCrash(
      [this](const BackendState &Server, const std::vector<LostRequest> &Lost) {
        this->Suspects.recordCrash(Server, Lost);
      });
  this->RequestGateway.onSuspectAnswered(
      [this](const std::string &Fingerprint) {
        this->Suspects.recordAnswer(Fingerprint);
      });
  this->Members.onVersionStopped(WakeUp);
  this->LoadSignal.onChange([this] { this->updateRelief(Clock::now()); });
}

Outcome<void> SteeringInstance::start() {
  const GatewaySettings &Settings = this->State.Settings;
  // Until the configuration is known, callers have the default limits.
  this->applyLimits({});
  struct Listener {
    HttpServer *Server;
    const std::string &Address;
  };
  for (const Listener &Item :
       {Listener{&this->CallerServer, Settings.CallerAddress},
        {&this->ReadinessServer, Settings.ReadinessAddress},
        {&this->LookupServer, Settings.LookupAddress}}) {
    if (Item.Address.empty())
      continue;
    if (auto Listening = Item.Server->listen(Item.Address); !Listening)
      return Listening;
  }
  logEvent(Event::SteeringStarted, {{"instance", Settings.Name},
                                    {"zone", Settings.Zone},
                                    {"callers", Settings.CallerAddress}});
  this->logConnectionBudget();
  // A failure to listen for metrics does not prevent the instance from serving.
  if (!Settings.MetricsAddress.empty() &&
      !this->MetricsServer.listen(Settings.MetricsAddress))
    logEvent(Event::MetricsUnavailable, {{"address", Settings.MetricsAddress}});
  this->StartedAt = Clock::now();
  asio::co_spawn(this->Context, this->MemberTable.run(), asio::detached);
  asio::co_spawn(this->Context, this->runMaintenance(), asio::detached);
  asio::co_spawn(this->Context, this->runLoopMonitor(), asio::detached);
  asio::co_spawn(this->Context, this->startReading(), asio::detached);
  if (this->Usage)
    this->Usage->start();
  return {};
}

asio::awaitable<void> SteeringInstance::startReading() {
  while (!this->State.MembersKnown && !this->Stopped)
    co_await sleepFor(MembersKnownPollPeriod);
  // When a whole fleet starts, instances with a large CPU share announce
  // themselves first, so that the others find out that they are standbys before
  // they write or read anything.
  const GatewaySettings &Settings = this->State.Settings;
  if (!this->State.Members.hasOtherInZone(Settings.Zone)) {
    const double Share = std::clamp(Settings.CpuShare, 0.0, 1.0);
    co_await sleepFor(std::chrono::duration_cast<Clock::duration>(
        FleetStartTime * (1 - Share)));
    co_await this->MemberTable.refresh();
  }
  this->updateStandby(Clock::now());
  asio::co_spawn(this->Context, this->OrderTable.run(), asio::detached);
  asio::co_spawn(this->Context, this->BackendTable.run(), asio::detached);
  co_await this->runAnnouncements();
}

bool SteeringInstance::isReady() const {
  if (!this->State.Config || !this->State.BackendsKnown ||
      !this->State.MembersKnown || this->State.Leaving)
    return false;
  const Clock::time_point Now = bootTime();
  // A standby confirms the validity of keys when a request arrives.
  if (this->State.Standby)
    return Now < this->OrderTable.currentUntil() + StandbyReadyTime;
  return Now < this->State.KeysValidUntil &&
         this->State.QuotaParticipation.mayUseShare(Now);
}

void SteeringInstance::setBounds(const SteeringBounds &Bounds) {
  this->State.Settings.Bounds = Bounds;
}

void SteeringInstance::applyLimits(const ClientLimits &Limits) {
  HttpServerLimits Applied;
  Applied.Message = {Limits.MaxHeaderBytes, Limits.MaxBodyBytes,
                     this->State.BodyBytes};
  Applied.RequestTimeout = Limits.HeaderTimeout;
  Applied.IdleTimeout = Limits.IdleTimeout;
  Applied.MaxRefusals = this->State.Connections->parts().Refusals;
  this->CallerServer.setLimits(Applied);
}

asio::awaitable<HttpMessage>
SteeringInstance::handleCaller(HttpMessage Request, CancellationPtr Cancel) {
  // The time for which the event loop was held up is gone for the caller.
  const Clock::time_point Arrived = this->arrivalTime();
  const RunningRequests::Scope Scope(this->CallerRequests, Cancel);
  const Clock::time_point Now = bootTime();
  const bool OrdersCurrent = areOrdersCurrent(this->tableTimes(), Now);
  const bool Serves = this->followsTables() &&
                      this->State.QuotaParticipation.mayUseShare(Now) &&
                      Now < this->State.KeysValidUntil;
  const std::uint64_t Version =
      this->State.Config ? this->State.Config->Version : 0;
  const auto MinVersion = StandbyForwarder::takeForwardedVersion(Request);
  if (MinVersion) {
    // The standby that asks can also ask another instance.
    if (!Serves || this->State.Leaving || !OrdersCurrent || this->isBehind() ||
        Version < *MinVersion ||
        !areBackendsCurrent(this->tableTimes(), Now,
                            this->State.Settings.Bounds.DrainTime))
      co_return StandbyForwarder::declinedReply();
    HttpMessage Answer = co_await this->RequestGateway.handle(
        std::move(Request), std::move(Cancel), Arrived);
    StandbyForwarder::addVersionHeader(Answer, Version);
    co_return Answer;
  }
  this->recordRequest(Arrived);
  bool MayAnswer = false;
  // An instance that does not serve passes requests on without reading first.
  if (Serves)
    MayAnswer = co_await this->catchUp();
  if (this->State.MembersKnown && !MayAnswer) {
    auto Answer = co_await this->Forwarder.forwardRequest(Request, Cancel);
    if (Answer)
      co_return std::move(*Answer);
    // The tables may have changed since this instance read them. If the store
    // is unavailable to an instance that follows them, it continues with what
    // it knows.
    if (!this->followsTables() ||
        (!OrdersCurrent && !this->OrderTable.isFailing())) {
      const bool Current = co_await this->refreshTables();
      if (!Current)
        co_return refusalReply(503, "the store did not answer in time",
                               StoreRetryDelay);
    }
    const bool CaughtUp = co_await this->catchUp();
    if (!CaughtUp)
      co_return refusalReply(503,
                             "a newer configuration is in force, which this "
                             "instance has not read yet",
                             StoreRetryDelay);
  }
  co_return co_await this->RequestGateway.handle(std::move(Request),
                                                 std::move(Cancel), Arrived);
}

asio::awaitable<void> SteeringInstance::runAnnouncements() {
  while (!this->Stopped) {
    bool Failed = false;
    this->updateStandby(Clock::now());
    // A standby does not write a row, unless an earlier one lists it as in
    // service.
    if (!this->State.Standby || this->Members.isListedInService()) {
      const bool Overloaded = this->State.Distressed.has_value();
      const auto Written = co_await this->OwnRow.write();
      Failed = !Written;
      if (Written)
        this->OverloadWritten = Overloaded;
      else
        logEvent(Event::OwnRowNotWritten,
                 {{"error", Written.error().message()}});
      if (Written && this->Members.shouldWriteSecret(this->Moves.isLeader()))
        co_await this->writePeerSecret();
      if (Written && this->State.Config && this->State.BackendsKnown)
        co_await this->Moves.advanceMoves();
    }
    const bool MovePending =
        this->Moves.hasPendingMove() || !this->State.MembersKnown;
    asio::error_code Ignored;
    this->applyPollPeriods(MovePending);
    const Clock::duration IdlePeriod =
        this->State.Standby ? StandbyPollPeriod : AnnouncePeriod;
    // The overload may have changed while the row was being written.
    if (!Failed && !this->State.Standby &&
        this->OverloadWritten != this->State.Distressed.has_value())
      continue;
    const bool FastRetry = (MovePending || Failed) && !this->State.Standby;
    this->AnnounceTimer.expires_after(std::min(
        FastRetry ? MovePollPeriod : IdlePeriod, this->timeUntilJoin()));
    co_await this->AnnounceTimer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
}

asio::awaitable<void> SteeringInstance::runMaintenance() {
  while (!this->Stopped) {
    const Clock::time_point Now = Clock::now();
    this->RequestGateway.links().closeExpired();
    const bool WasStarted = this->Links.isStarted();
    this->Links.start(this->State.PeerSecret);
    if ((!WasStarted && this->Links.isStarted()) ||
        this->Suspects.hasRecentLoss())
      this->applyPollPeriods(this->Moves.hasPendingMove());
    // A standby reads rarely and evaluates the records as of its last read.
    if (!this->State.Standby)
      this->Members.advanceStoreTime(Now);
    this->updateStandby(Now);
    this->updateRelief(Now);
    this->State.Connections->setUsed(ConnectionUse::Peers,
                                     this->Links.linkCount());
    this->logRefusedCallers(Now);
    this->Quotas.maintain(Now);
    this->State.ColdServers.expire(Now);
    this->State.LimitedServers.expire(Now);
    this->Suspects.removeExpired(!this->State.Standby &&
                                 this->Moves.isLeader());
    this->Backends.removeMissing(this->isStoreRecovering());
    if (this->Orders.isReadDue(bootTime()) && !this->OrderTable.isFailing())
      this->startRefresh(this->OrderTable);
    if (this->State.Config)
      for (const auto &Item : this->State.Config->Services)
        this->State.Versions[Item.first].updatePresentVersions(
            this->State.Backends.versions(Item.first), Now);
    // Until the first request, the shares of the regions follow the servers,
    // which may still be registering after the instance became ready.
    if (this->State.Shifts.isIdle())
      this->State.Shifts.setInitialShares(
          regionMix(this->State.Backends.all(), this->State.Settings.Region));
    if (!this->ReadyLogged && this->isReady()) {
      this->ReadyLogged = true;
      logEvent(Event::SteeringReady);
    }
    co_await sleepFor(MaintenancePeriod);
  }
}

} // namespace rr
