#include "gateway/SteeringInstance.h"
#include "gateway/SteeringPaces.h"
#include "logging/EventLog.h"
#include "tables/BootTime.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <algorithm>

namespace rr {

namespace {

/// Entries of the instances in the first moments, when all of them appear and
/// many find that they are not needed.
constexpr Clock::duration StartPeriod = std::chrono::milliseconds(800);
constexpr Clock::duration StartTime = std::chrono::milliseconds(2500);
/// An instance that gets this many requests in this time is in service.
constexpr std::size_t WakeRequests = 12;
constexpr Clock::duration WakeWindow = std::chrono::seconds(3);
/// After its last request an instance stays in service for this long.
constexpr Clock::duration WakeTime = std::chrono::seconds(30);
/// Entries that were asked for this lately are current for a request.
constexpr Clock::duration RecentEntries = std::chrono::milliseconds(500);
/// Longest wait for current entries.
constexpr Clock::duration LongestCatchUp = std::chrono::milliseconds(400);
constexpr Clock::duration CatchUpPoll = std::chrono::milliseconds(5);

} // namespace

void SteeringInstance::noteRequest(Clock::time_point Now) {
  if (this->Needed)
    return;
  // Single requests are checks of this instance.
  this->RecentRequests.push_back(Now);
  while (this->RecentRequests.front() + WakeWindow < Now)
    this->RecentRequests.pop_front();
  if (this->RecentRequests.size() < WakeRequests)
    return;
  this->RecentRequests.clear();
  this->InUseUntil = Now + WakeTime;
  this->reviewStandby(Now);
}

bool SteeringInstance::isCurrent(Clock::time_point Now) const {
  return std::min({this->OrderTable.readStart(), this->BackendTable.readStart(),
                   this->MemberTable.readStart()}) +
             RecentEntries >=
         Now;
}

asio::awaitable<void> SteeringInstance::refresh(TableWatch &Table) {
  ++this->Refreshes;
  co_await Table.refresh();
  --this->Refreshes;
}

asio::awaitable<bool> SteeringInstance::catchUp() {
  const Clock::time_point Now = Clock::now();
  if (!this->isCurrent(Now) && this->Refreshes == 0)
    for (TableWatch *Table :
         {&this->OrderTable, &this->BackendTable, &this->MemberTable})
      asio::co_spawn(this->Context, this->refresh(*Table), asio::detached);
  while (!this->isCurrent(Now) && Clock::now() - Now < LongestCatchUp)
    co_await sleepFor(CatchUpPoll);
  co_return this->isCurrent(Now);
}

Clock::duration SteeringInstance::joinWait() const {
  const Clock::duration Wait = this->State.Tenure.usableFrom() - bootTime();
  return Wait > Clock::duration::zero() ? Wait : Clock::duration::max();
}

void SteeringInstance::applyPace(bool Busy) {
  if (this->State.Standby) {
    this->OrderTable.setPace(OrderWait, StandbyPeriod);
    this->BackendTable.setPace(BackendPeriod, StandbyPeriod);
    // Without the secret nothing can be read through others.
    this->MemberTable.setPace(MemberPeriod, this->State.PeerSecret.empty()
                                                ? StartPeriod
                                                : StandbyMemberPeriod);
    this->Members.setReadPeriod(StandbyMemberPeriod);
    return;
  }
  Clock::duration Period = Busy ? BusyPeriod : MemberPeriod;
  if (!Busy && Clock::now() - this->StartedAt < StartTime)
    Period = StartPeriod;
  this->OrderTable.setPace(OrderWait, Clock::duration{0});
  this->BackendTable.setPace(BackendPeriod, BackendPeriod);
  this->MemberTable.setPace(Period, Period);
  // Those who read in its place may be at the longer one.
  this->Members.setReadPeriod(MemberPeriod);
}

void SteeringInstance::reviewStandby(Clock::time_point Now) {
  this->Needed = this->State.MembersKnown &&
                 this->State.Members.isActive(this->Members.ownRecord());
  const bool Standby =
      this->State.MembersKnown && Now >= this->InUseUntil && !this->Needed;
  if (Standby == this->State.Standby)
    return;
  this->State.Standby = Standby;
  logEvent(Standby ? Event::StandbyBegun : Event::StandbyEnded);
  this->applyPace(this->Moves.isBusy());
  // The others learn of it at once.
  this->AnnounceTimer.cancel();
}

} // namespace rr
