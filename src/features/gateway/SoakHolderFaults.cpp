#include "gateway/SoakFleet.h"

#include "steering/QuotaHolder.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <algorithm>

namespace rr {

namespace {

/// A suspension that is longer than the lifetime of the instance's row.
constexpr Clock::duration SuspensionTime = std::chrono::seconds(5);
/// From the return of a holder until callers send much again, at most: other
/// instances still act by its last row, then by the new one.
constexpr std::chrono::milliseconds MaxQuietAfterReturn{4000};
constexpr Clock::duration RejectionTime = std::chrono::seconds(9);
/// Time between two planned stops.
constexpr Clock::duration StopInterval = std::chrono::milliseconds(300);
/// Requests per step to an instance whose configuration is watched.
constexpr double WatchPerStep = 0.2;
constexpr Clock::duration StopTime = std::chrono::seconds(6);
/// Time after an answer until the configuration that it showed must be used: a
/// request may have been accepted before.
constexpr Clock::duration ConfigurationSlack = std::chrono::milliseconds(250);

} // namespace

std::shared_ptr<const SteeringConfig>
SoakFleet::withVersionRoutes(SteeringConfig Config) {
  for (auto &[Host, Routes] : Config.RoutesByHost) {
    const auto Open = std::find_if(
        Routes.begin(), Routes.end(),
        [](const SteeringRoute &Route) { return Route.AllowAnonymous; });
    if (Open == Routes.end())
      continue;
    SteeringRoute Added = *Open;
    for (std::uint64_t Since = 1; Since <= Config.Version; ++Since) {
      Added.Name = "since-" + std::to_string(Since);
      Added.PathPrefix = "/" + Added.Name + "/";
      Routes.push_back(Added);
    }
  }
  return std::make_shared<const SteeringConfig>(std::move(Config));
}

SoakFleet::Node &SoakFleet::holderIn(const std::string &Zone) {
  std::vector<std::string> Names;
  for (const auto &Item : this->Nodes)
    if (Names.empty() && Item->Instance && !Item->Instance->state().Standby)
      for (const MemberRecord *Record :
           Item->Instance->state().Members.quotaHolders(regionOf(Zone)))
        Names.push_back(Record->Name);
  const std::string Name = chooseQuotaHolder(Names, "w");
  for (const auto &Item : this->Nodes)
    if (Item->Name == Name)
      return *Item;
  return *this->Nodes.front();
}

void SoakFleet::injectHolderFault() {
  Node &Victim = this->holderIn(Zones[this->pickIndex(Zones.size())]);
  if (!Victim.Instance || Victim.Stopping || Clock::now() < Victim.FrozenUntil)
    return;
  switch (this->pickIndex(3)) {
  case 0:
    // One period of announcements.
    this->delayWrites(Victim, std::chrono::milliseconds(2400));
    break;
  case 1:
    this->suspendHolder(Victim);
    break;
  default:
    this->rejectDuringRestarts(Victim);
    break;
  }
}

void SoakFleet::delayWrites(Node &Item, Clock::duration Time) {
  this->logFault("writes of " + Item.Name + " are executed late");
  Item.WritesLateUntil = Clock::now() + Time;
  this->extendDisturbance(Item, Time + std::chrono::seconds(6));
  this->QuietUntil = Clock::now() + Time + std::chrono::seconds(4) +
                     this->randomDuration({}, MaxQuietAfterReturn);
}

void SoakFleet::suspendHolder(Node &Item) {
  this->logFault(Item.Name + " is suspended while callers are quiet");
  Item.FrozenUntil = Clock::now() + SuspensionTime;
  this->extendDisturbance(Item, SuspensionTime);
  this->QuietUntil =
      Item.FrozenUntil + this->randomDuration({}, MaxQuietAfterReturn);
}

void SoakFleet::rejectDuringRestarts(Node &Item) {
  this->logFault("the store rejects " + Item.Name +
                 ", and the others of its region restart in turn");
  this->disconnectFromStore(Item, RejectionTime);
  this->QuietUntil = Clock::now() + RejectionTime +
                     this->randomDuration({}, MaxQuietAfterReturn);
  this->Watched = &Item;
  this->WatchedUntil = Clock::now() + RejectionTime;
  this->ConfigureAt = Clock::now() + std::chrono::seconds(2);
  Clock::time_point StopAt = Clock::now() + std::chrono::seconds(5);
  for (const auto &Other : this->Nodes)
    if (Other.get() != &Item && regionOf(Other->Zone) == regionOf(Item.Zone)) {
      Other->StopAt = StopAt;
      StopAt += StopInterval;
      this->extendDisturbance(*Other, StopAt - Clock::now() + StopTime);
    }
}

void SoakFleet::stopDueNodes() {
  for (const auto &Item : this->Nodes)
    if (Clock::now() >= Item->StopAt) {
      Item->StopAt = Clock::time_point::max();
      this->stopNode(*Item);
    }
}

void SoakFleet::watchConfiguration() {
  if (Clock::now() >= this->WatchedUntil || !this->Watched->Instance ||
      !this->chance(WatchPerStep))
    return;
  const std::string Id = "r" + std::to_string(++this->LastId);
  Request &Item = this->Requests[Id];
  Item.SentAt = Clock::now();
  Item.Since = this->ConfigVersion;
  Item.Entry = this->Watched;
  Item.EntryKills = this->Watched->Kills;
  asio::co_spawn(this->SharedContext,
                 this->call(Id, "/since-" + std::to_string(Item.Since) + "/x",
                            *this->Watched),
                 asio::detached);
}

void SoakFleet::checkConfiguration(const Request &Item, const Node &Entry) {
  SeenConfiguration &Seen = this->SeenConfigurations[&Entry];
  if (Item.EntryKills != Entry.Kills)
    return;
  if (Seen.Kills != Entry.Kills)
    Seen = {0, {}, Entry.Kills};
  if (Item.Status == 404 && Item.Since <= Seen.Version &&
      Item.SentAt > Seen.At + ConfigurationSlack)
    this->reportViolation(Entry.Name + " went back from configuration " +
                          std::to_string(Seen.Version) + " to one before " +
                          std::to_string(Item.Since));
  if (Item.Status == 200 && Item.Since > Seen.Version)
    Seen = {Item.Since, Clock::now(), Entry.Kills};
}

} // namespace rr
