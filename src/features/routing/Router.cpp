#include "routing/Router.h"

#include "model/FleetConfig.h"
#include "routing/OwnerTable.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rr {

namespace {

using Kind = RouteDecision::Kind;

// Part of an owner's slots that requests from other regions may use. The rest
// is for local requests that come while a grant is valid.
constexpr double SpilledSlotShare = 0.9;

} // namespace

Router::Router(std::string Self, std::string Zone, std::string Region)
    : Region(Region),
      Peers(std::move(Self), std::move(Zone), std::move(Region)) {}

void Router::configure(const FleetConfig &Config, const OwnerTable &Owners,
                       std::uint32_t Deciders, bool StartWarm,
                       Clock::time_point Now) {
  this->Servers.configure(Config, this->Region, StartWarm, Now);
  this->Peers.configure(Config, Owners, Deciders);
  this->Versions.configure(Config);
  this->configureShifts(Config);
  this->configureTargets(Config);
  this->updateOwnership(Owners, Now);
}

void Router::updateOwnership(const OwnerTable &Owners, Clock::time_point Now) {
  this->Servers.setOwned(
      [&](const std::string &Server) { return Owners.owns(Server, Now); });
}

void Router::configureShifts(const FleetConfig &Config) {
  std::vector<ActiveShift> After;
  for (const TrafficShift &Shift : Config.Shifts) {
    const bool Here =
        Shift.FromRegion.empty() || Shift.FromRegion == this->Region;
    if (!Here || Shift.ToRegion == this->Region)
      continue;
    ActiveShift Item{Shift.Workspace, Shift.ToRegion, {}};
    for (const ActiveShift &Before : this->Shifts)
      if (Before.Workspace == Item.Workspace &&
          Before.ToRegion == Item.ToRegion)
        Item.Meter = Before.Meter;
    Item.Meter.setFraction(Shift.Share);
    After.push_back(std::move(Item));
  }
  this->Shifts = std::move(After);
}

void Router::configureTargets(const FleetConfig &Config) {
  this->Targets.clear();
  for (const Link &Item : Config.Links)
    if (Item.From == this->Region)
      this->Targets.push_back({Item.To, 2 * Item.Latency});
  std::ranges::sort(this->Targets, {}, [](const SpillTarget &Target) {
    return std::tie(Target.RoundTrip, Target.Region);
  });
}

RouteDecision Router::decide(const RouteRequest &Request, RandomEngine &Random,
                             Clock::time_point Now) {
  RouteDecision Decision;
  const bool AtEntry = Request.Version.empty();
  VersionChooser::Choice *Choice =
      AtEntry ? this->Versions.find(Request.Service) : nullptr;
  if (AtEntry && !Choice)
    return Decision;
  if (AtEntry && !Request.Spilled && this->shiftAway(Request, Decision, Now))
    return Decision;
  if (Choice && !Request.Again)
    Choice->Meter.see();
  if (Choice && Choice->Meter.mayMove() &&
      this->place(Request, Choice->Canary, Decision, Random, Now)) {
    Choice->Meter.move();
    return Decision;
  }
  std::string_view Version =
      Choice ? std::string_view(Choice->Stable) : Request.Version;
  if (this->place(Request, Version, Decision, Random, Now))
    return Decision;
  // At a share of 1 requests wait for the canary: the stable version may have
  // no servers any more.
  if (Choice && Choice->CanaryShare >= 1)
    Version = Choice->Canary;
  const Clock::duration Wait = this->estimateWait(Request, Version, Now);
  if (this->spill(Request, Wait, Decision, Now) ||
      this->placeSuspect(Request, Version, Decision, Random, Now))
    return Decision;
  Decision.Version = Version;
  Decision.EstimatedWait = Wait;
  if (!Request.Forwarded && Wait < Request.Deadline - Now)
    Decision.Where = Kind::Queue;
  return Decision;
}

bool Router::shiftAway(const RouteRequest &Request, RouteDecision &Decision,
                       Clock::time_point Now) {
  for (ActiveShift &Shift : this->Shifts) {
    if (Shift.Workspace != Request.Workspace)
      continue;
    if (!Request.Again)
      Shift.Meter.see();
    if (!Shift.Meter.mayMove() ||
        !this->Credits.trySpend(Shift.ToRegion, Request.Service, Request.Bytes,
                                Now))
      continue;
    Shift.Meter.move();
    Decision.Where = Kind::Spill;
    Decision.Region = Shift.ToRegion;
    return true;
  }
  return false;
}

bool Router::place(const RouteRequest &Request, std::string_view Version,
                   RouteDecision &Decision, RandomEngine &Random,
                   Clock::time_point Now) {
  if (!Request.Spilled || this->takesSpilled(Request, Version, Now))
    Decision.Slot = this->Servers.acquire(Request.Service, Version,
                                          Request.MayRetry, Random, Now);
  if (Decision.Slot)
    Decision.Where = Kind::Local;
  else if (!Request.Forwarded)
    Decision.Peer = this->Peers.choose(Request.Service, Version, Random, Now);
  if (Decision.Peer)
    Decision.Where = Kind::Forward;
  Decision.Version = Version;
  return Decision.Where != Kind::Refuse;
}

bool Router::placeSuspect(const RouteRequest &Request, std::string_view Version,
                          RouteDecision &Decision, RandomEngine &Random,
                          Clock::time_point Now) {
  if (Request.Spilled)
    return false;
  Decision.Slot =
      this->Servers.acquireSuspect(Request.Service, Version, Random, Now);
  if (!Decision.Slot)
    return false;
  Decision.Where = Kind::Local;
  return true;
}

bool Router::takesSpilled(const RouteRequest &Request, std::string_view Version,
                          Clock::time_point Now) const {
  const auto Use = this->Servers.use(Request.Service, Version, Now);
  return Use.Outstanding + 1 <= SpilledSlotShare * Use.Slots;
}

bool Router::spill(const RouteRequest &Request, Clock::duration Wait,
                   RouteDecision &Decision, Clock::time_point Now) {
  if (Request.Spilled || Request.Forwarded || this->Targets.empty())
    return false;
  const bool Fits = Wait < Request.Deadline - Now;
  // A wait shorter than the way to the nearest region is better spent here.
  if (Fits && Wait <= this->Targets.front().RoundTrip)
    return false;
  // A request that waits or was refused by an owner counts once.
  Decision.Overflowed = true;
  if (!Request.OverflowNoted)
    this->noteOverflow(Request);
  for (const SpillTarget &Target : this->Targets) {
    if (Target.RoundTrip >= Request.Deadline - Now ||
        !this->Credits.trySpend(Target.Region, Request.Service, Request.Bytes,
                                Now))
      continue;
    Decision.Where = Kind::Spill;
    Decision.Region = Target.Region;
    return true;
  }
  return false;
}

Clock::duration Router::estimateWait(const RouteRequest &Request,
                                     std::string_view Version,
                                     Clock::time_point Now) const {
  const auto Use = this->Servers.recentUse(Request.Service, Version, Now);
  // All deciders of the region compete for its slots.
  const double Slots =
      double(Use.Slots + this->Peers.slots(Request.Service, Version)) /
      this->Peers.deciders();
  if (Slots == 0)
    return Clock::duration::max();
  const std::chrono::duration<double> Latency = Use.Latency;
  return std::chrono::duration_cast<Clock::duration>(
      Latency * (Request.Queued + 1) / Slots);
}

void Router::noteOverflow(const RouteRequest &Request) {
  auto Found =
      std::ranges::find(this->Overflows, Request.Service, &Overflow::Service);
  if (Found == this->Overflows.end())
    Found = this->Overflows.insert(Found, {std::string(Request.Service), 0, 0});
  ++Found->Requests;
  Found->Bytes += Request.Bytes;
}

std::vector<Overflow> Router::takeOverflow() {
  return std::exchange(this->Overflows, {});
}

} // namespace rr
