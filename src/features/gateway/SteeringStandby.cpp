#include "gateway/GatewayAttempt.h"
#include "gateway/SteeringInstance.h"
#include "gateway/SteeringPollPeriods.h"
#include "logging/EventLog.h"
#include "tables/BootTime.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <algorithm>

namespace rr {

namespace {

/// Read period of the member table during start-up, when the instances of a
/// fleet register and many find out that they are standbys.
constexpr Clock::duration StartupMemberPollPeriod =
    std::chrono::milliseconds(800);
constexpr Clock::duration StartupTime = std::chrono::milliseconds(2500);
/// A standby that receives this many requests within the window goes into
/// service.
constexpr std::size_t ActivationRequests = 12;
constexpr Clock::duration ActivationWindow = std::chrono::seconds(3);
/// It stays in service for this long after it last reached that rate, or after
/// the last overload in its zone.
constexpr Clock::duration MinInServiceTime = std::chrono::seconds(30);
/// Longest wait of a request for current rows. A table may take several calls.
constexpr Clock::duration RefreshTimeout = std::chrono::milliseconds(800);
/// The same for an instance in service, which is a few changes behind.
constexpr Clock::duration BackendRefreshTimeout =
    std::chrono::milliseconds(400);
/// Requests do not wait again for this long after a wait in vain.
constexpr Clock::duration RefreshBackoff = std::chrono::seconds(1);
constexpr Clock::duration RefreshPollPeriod = std::chrono::milliseconds(5);

} // namespace

void SteeringInstance::recordRequest(Clock::time_point Now) {
  if (this->Active)
    return;
  // Occasional requests may be health checks and do not activate the instance.
  this->RecentRequests.push_back(Now);
  while (this->RecentRequests.front() + ActivationWindow < Now)
    this->RecentRequests.pop_front();
  if (this->RecentRequests.size() < ActivationRequests)
    return;
  this->RecentRequests.clear();
  this->InServiceUntil = Now + MinInServiceTime;
  this->updateStandby(Now);
}

TableTimes SteeringInstance::tableTimes() const {
  return {this->OrderTable.currentUntil(), this->BackendTable.currentUntil(),
          this->MemberTable.currentUntil()};
}

bool SteeringInstance::followsTables() const {
  return !this->State.Standby &&
         rr::followsTables(this->tableTimes(), this->State.InServiceSince);
}

void SteeringInstance::startRefresh(TableWatch &Table) {
  if (Table.isRefreshing())
    return;
  asio::co_spawn(
      this->Context,
      [&Table]() -> asio::awaitable<void> { co_await Table.refresh(); },
      asio::detached);
}

asio::awaitable<bool> SteeringInstance::refreshTables() {
  const Clock::time_point Now = bootTime();
  const Clock::time_point WaitUntil =
      std::min(Clock::now() + RefreshTimeout, this->State.StopsAt);
  if (!wereJustRead(this->tableTimes(), Now))
    for (TableWatch *Table :
         {&this->OrderTable, &this->BackendTable, &this->MemberTable})
      this->startRefresh(*Table);
  while (!wereJustRead(this->tableTimes(), Now) && Clock::now() < WaitUntil)
    co_await sleepFor(RefreshPollPeriod);
  co_return wereJustRead(this->tableTimes(), Now);
}

bool SteeringInstance::isBehind() const {
  return this->State.Config &&
         this->State.NewestSeen.isNewerThan(this->State.Config->Version,
                                            this->State.OrdersReadAt);
}

asio::awaitable<bool> SteeringInstance::catchUp() {
  // While the store rejects this instance, its reader retries by itself.
  if (!this->isBehind() || this->OrderTable.isFailing())
    co_return !this->isBehind();
  const Clock::time_point WaitUntil = Clock::now() + RefreshTimeout;
  // A read that runs already may have begun too early.
  for (int Read = 0; Read < 2 && this->isBehind(); ++Read) {
    this->startRefresh(this->OrderTable);
    while (this->isBehind() && this->OrderTable.isRefreshing() &&
           Clock::now() < WaitUntil)
      co_await sleepFor(RefreshPollPeriod);
  }
  co_return !this->isBehind();
}

asio::awaitable<void> SteeringInstance::refreshBackends() {
  const Clock::duration DrainTime = this->State.Settings.Bounds.DrainTime;
  const Clock::time_point Now = bootTime();
  if (areBackendsCurrent(this->tableTimes(), Now, DrainTime) ||
      this->BackendTable.isFailing() ||
      Clock::now() < this->SkipBackendRefreshUntil)
    co_return;
  const Clock::time_point WaitUntil =
      std::min(Clock::now() + BackendRefreshTimeout, this->State.StopsAt);
  this->startRefresh(this->BackendTable);
  do {
    co_await sleepFor(RefreshPollPeriod);
    if (areBackendsCurrent(this->tableTimes(), Now, DrainTime))
      co_return;
  } while (this->BackendTable.isRefreshing() && Clock::now() < WaitUntil);
  this->SkipBackendRefreshUntil = Clock::now() + RefreshBackoff;
}

Clock::duration SteeringInstance::timeUntilJoin() const {
  const Clock::duration Wait =
      this->State.QuotaParticipation.usableFrom() - bootTime();
  return Wait > Clock::duration::zero() ? Wait : Clock::duration::max();
}

void SteeringInstance::applyPollPeriods(bool MovePending) {
  const Clock::duration OrderWait =
      orderLongPollTime(this->State.Settings.Bounds.ConfigurationTime);
  if (this->State.Standby) {
    this->OrderTable.setIntervals(OrderWait, StandbyPollPeriod);
    this->BackendTable.setIntervals(BackendPollPeriod, StandbyPollPeriod);
    // Without the secret no links exist and reads cannot be relayed.
    this->MemberTable.setIntervals(MemberPollPeriod,
                                   this->State.PeerSecret.empty()
                                       ? StartupMemberPollPeriod
                                       : StandbyMemberPollPeriod);
    this->Members.setReadPeriod(StandbyMemberPollPeriod);
    return;
  }
  const bool ChangesPending = MovePending || this->Suspects.hasRecentLoss();
  Clock::duration Period = ChangesPending ? MovePollPeriod : MemberPollPeriod;
  if (!ChangesPending && Clock::now() - this->StartedAt < StartupTime)
    Period = StartupMemberPollPeriod;
  this->OrderTable.setIntervals(OrderWait, Clock::duration{0});
  this->BackendTable.setIntervals(BackendPollPeriod, BackendPollPeriod);
  this->MemberTable.setIntervals(Period, Period);
  // The instances that relay reads may use the longer period.
  this->Members.setReadPeriod(MemberPollPeriod);
}

void SteeringInstance::updateStandby(Clock::time_point Now) {
  this->Active = this->State.MembersKnown &&
                 this->State.Members.isActive(this->Members.ownRecord());
  const bool Standby =
      this->State.MembersKnown && Now >= this->InServiceUntil && !this->Active;
  if (Standby == this->State.Standby)
    return;
  this->State.Standby = Standby;
  if (Standby) {
    logEvent(Event::StandbyBegun);
  } else {
    const Clock::time_point BootNow = bootTime();
    this->State.InServiceSince = BootNow;
    const TableTimes Known = this->tableTimes();
    logEvent(Event::StandbyEnded,
             {{"orders_age_ms", millisecondText(BootNow - Known.Orders)},
              {"servers_age_ms", millisecondText(BootNow - Known.Backends)},
              {"members_age_ms", millisecondText(BootNow - Known.Members)}});
  }
  this->applyPollPeriods(this->Moves.hasPendingMove());
  // Announce the change at once.
  this->AnnounceTimer.cancel();
}

void SteeringInstance::updateRelief(Clock::time_point Now) {
  if (this->Active || !this->State.MembersKnown || this->State.Leaving)
    return;
  const ZoneLoad Load = this->State.Members.zoneLoad(this->State.Settings.Zone);
  if (!this->State.Standby) {
    if (Load.Overloaded > 0)
      this->InServiceUntil =
          std::max(this->InServiceUntil, Now + MinInServiceTime);
    return;
  }
  if (!this->ReliefTurn.update(isStandbyNeeded(Load), Now) ||
      this->JoiningForRelief)
    return;
  this->JoiningForRelief = true;
  asio::co_spawn(this->Context, this->joinForRelief(), asio::detached);
}

asio::awaitable<void> SteeringInstance::joinForRelief() {
  // Without the store, the rows and messages that are known decide.
  co_await this->MemberTable.refresh();
  this->JoiningForRelief = false;
  const ZoneLoad Load = this->State.Members.zoneLoad(this->State.Settings.Zone);
  if (!this->State.Standby || this->State.Leaving || !isStandbyNeeded(Load))
    co_return;
  const Clock::time_point Now = Clock::now();
  logEvent(Event::StandbyCalled,
           {{"overloaded", std::to_string(Load.Overloaded)},
            {"helping", std::to_string(Load.Helping)},
            {"members_age_ms",
             millisecondText(bootTime() - this->tableTimes().Members)}});
  this->InServiceUntil = std::max(this->InServiceUntil, Now + MinInServiceTime);
  this->updateStandby(Now);
}

} // namespace rr
