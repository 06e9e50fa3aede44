#include "bench/CapacityParty.h"

namespace rr {

namespace {

constexpr ControlVersions HeldVersions{4400, 100000, 12};

} // namespace

CapacityParty::CapacityParty(const CapacityFleet &Fleet, std::size_t Index)
    : StartedAt(Clock::now()), Members(Fleet.member(Index)), Freshness(Members),
      Exchange(Members, Freshness) {
  Fleet.fill(this->Members, this->StartedAt);
  this->Freshness.setHeld({HeldVersions, ""});
  this->Freshness.noteSynchronised();
  this->Exchange.setLoad(Fleet.load());
  // Loads of all zones, as relays tell them.
  Summary Loads;
  Loads.Header.From = Fleet.member(Index == 0 ? 1 : 0);
  for (std::size_t I = 0; I < Fleet.Zones; ++I) {
    ZoneStatus Status;
    Status.Zone = Fleet.zone(I);
    Status.Load = Fleet.load();
    Loads.Zones.push_back(std::move(Status));
  }
  this->Exchange.receive(Loads, this->StartedAt);
  this->setNow(this->StartedAt);
}

void CapacityParty::setNow(Clock::time_point Now) {
  this->Freshness.noteRead(Now, HeldVersions);
}

void CapacityParty::tick() {
  const Clock::time_point Now = this->StartedAt;
  this->Members.prune(Now);
  static_cast<void>(this->Exchange.period(Now));
  static_cast<void>(this->Exchange.heartbeatTargets(Now));
  static_cast<void>(this->Exchange.zoneSummaryTargets(Now));
  static_cast<void>(this->Exchange.membersToProbe(Now));
  static_cast<void>(this->Freshness.validUntil());
}

} // namespace rr
