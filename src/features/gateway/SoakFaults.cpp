#include "gateway/SoakFleet.h"

#include <asio/post.hpp>

namespace rr {

namespace {

/// Time between two servers that leave in turn, so that a view of any age lacks
/// some.
constexpr Clock::duration DrainPeriod = std::chrono::seconds(3);
/// Exceeds the time for which the store may come back with the row of a server
/// that is gone, and the time until the row is removed again.
constexpr Clock::duration GoneListenTime = std::chrono::seconds(20);
/// Share of the faults that are restores of the store.
constexpr double RestoreShare = 0.15;
/// Share of the faults that injectHolderFault() injects.
constexpr double HolderFaultShare = 0.25;
/// Time between two servers that name a limit.
constexpr Clock::duration LimitPeriod = std::chrono::seconds(5);

} // namespace

bool SoakFleet::stopNode(Node &Item) {
  if (!Item.Instance || Item.Stopping || Clock::now() < Item.FrozenUntil)
    return false;
  this->logFault(Item.Name + " is stopped");
  Item.Stopping = true;
  // The process is killed at the end of the stop time.
  Item.RestartAt = Clock::now() + std::chrono::seconds(6);
  // It ends earlier if it has answered everything.
  Item.Instance->beginStop([&Item] { Item.RestartAt = Clock::now(); });
  this->extendDisturbance(Item, std::chrono::seconds(6));
  return true;
}

void SoakFleet::killNode(Node &Item, Clock::duration Down) {
  ++Item.Kills;
  Item.Instance.reset();
  Item.Context.reset();
  Item.RestartAt = Clock::now() + Down;
  Item.KillAt = Clock::time_point::max();
  this->extendDisturbance(Item, Down);
}

void SoakFleet::restartNodes() {
  for (const auto &Item : this->Nodes) {
    if (Item->Instance && Clock::now() >= Item->KillAt)
      this->killNode(*Item,
                     this->randomDuration(std::chrono::milliseconds(100),
                                          std::chrono::milliseconds(3000)));
    // The instance completes its stop in a handler, which must return before
    // the instance is destroyed.
    if (Item->Stopping && Item->Instance && Clock::now() >= Item->RestartAt) {
      ++Item->PlannedKills;
      this->killNode(*Item, Clock::duration::zero());
    }
    if (!Item->Instance && Clock::now() >= Item->RestartAt)
      this->startNode(*Item);
  }
}

void SoakFleet::maintainServers() {
  const Clock::time_point Now = Clock::now();
  if (Now >= this->NextDrain) {
    this->NextDrain = Now + DrainPeriod;
    this->drainServer();
  }
  if (Now >= this->NextLimit) {
    this->NextLimit = Now + LimitPeriod;
    this->limitServer();
  }
  if (Now >= this->ConfigureAt) {
    this->ConfigureAt = Clock::time_point::max();
    this->configure();
  }
  for (auto &[Id, Item] : this->GoneServers)
    if (Item.Http && Now >= Item.EndsAt + GoneListenTime) {
      Item.Http->stopAccepting();
      this->StoppedServers.push_back(std::move(Item.Http));
    }
  std::vector<std::string> Gone;
  for (auto &[Id, Item] : this->Servers)
    if (Item.EndsAt != Clock::time_point{} && Now >= Item.EndsAt)
      Gone.push_back(Id);
  for (const std::string &Id : Gone) {
    Server &Item = this->Servers.at(Id);
    this->Tables.erase("backends", Id);
    this->onNoticeWritten(Id);
    const std::string Zone = Item.Zone;
    if (Item.Http)
      this->GoneServers[Id] = std::move(Item);
    this->Servers.erase(Id);
    this->addServer(Zone);
  }
}

void SoakFleet::disconnectFromStore(Node &Item, Clock::duration Time) {
  this->logFault(Item.Name + " is disconnected from the store");
  Item.DisconnectedUntil = Clock::now() + Time;
  this->extendDisturbance(Item, Time);
}

void SoakFleet::drainServer() {
  const auto Chosen =
      std::next(this->Servers.begin(),
                std::ptrdiff_t(this->pickIndex(this->Servers.size())));
  if (Chosen->second.EndsAt != Clock::time_point{})
    return;
  this->logFault("server " + Chosen->first + " drains");
  Chosen->second.Drain = SoakNotice{0, Clock::now(), Clock::now(), false, {}};
  Chosen->second.EndsAt = Clock::now() + std::chrono::seconds(5);
  this->putServer(Chosen->first);
}

void SoakFleet::limitServer() {
  const auto Chosen =
      std::next(this->Servers.begin(),
                std::ptrdiff_t(this->pickIndex(this->Servers.size())));
  if (Clock::now() < Chosen->second.LimitedUntil)
    return;
  this->logFault("server " + Chosen->first + " names a limit");
  Chosen->second.ToldAt.clear();
  Chosen->second.LimitedFrom = Clock::now();
  Chosen->second.LimitedUntil = Clock::now() + std::chrono::seconds(12);
}

void SoakFleet::crashServer(const std::string &Id) {
  Server &Item = this->Servers.at(Id);
  if (Item.Crashed)
    return;
  this->logFault("server " + Id + " crashes");
  Item.Crashed = true;
  Item.EndsAt = Clock::now() + std::chrono::seconds(3);
  // A handler of the server may be running.
  asio::post(this->SharedContext,
             [Ended = std::shared_ptr<HttpServer>(std::move(Item.Http))] {});
}

void SoakFleet::activateStandby() {
  this->logFault("the standby goes into service and loses the others");
  const Clock::time_point Now = Clock::now();
  Node &Small = *this->Nodes.back();
  this->StandbyBurstUntil = Small.ReadsStallUntil =
      Now + std::chrono::seconds(4);
  // The orders change, and so are current, before the others are lost.
  this->ConfigureAt = Now + std::chrono::milliseconds(600);
  for (const auto &Item : this->Nodes)
    if (Item.get() != &Small && Item->Zone.front() == Small.Zone.front())
      Item->KillAt = Now + std::chrono::milliseconds(800);
}

void SoakFleet::injectFault(bool WithRestores) {
  if (this->chance(HolderFaultShare)) {
    this->injectHolderFault();
    return;
  }
  if (WithRestores && this->chance(RestoreShare)) {
    this->scheduleRestore();
    return;
  }
  Node &Victim = *this->Nodes[this->pickIndex(this->Nodes.size())];
  const Clock::time_point Now = Clock::now();
  const Clock::duration Time = this->randomDuration(
      std::chrono::milliseconds(1000), std::chrono::milliseconds(6000));
  switch (this->pickIndex(18)) {
  case 0:
    this->logFault("the store is unavailable");
    this->StoreDownUntil = Now + Time;
    this->extendDisturbance(Time);
    break;
  case 1:
    this->disconnectFromStore(Victim, Time);
    break;
  case 2:
    this->logFault("answers to writes are lost");
    this->AnswersLostUntil = Now + Time;
    this->extendDisturbance(Time);
    break;
  case 3:
    this->logFault(Victim.Name + " is killed");
    this->killNode(Victim,
                   this->randomDuration(std::chrono::milliseconds(100),
                                        std::chrono::milliseconds(3000)));
    break;
  case 4:
    this->logFault(Victim.Name + " is frozen");
    Victim.FrozenUntil = Now + Time;
    this->extendDisturbance(Victim, Time);
    break;
  case 5:
    this->logFault("all instances are killed");
    for (const auto &Item : this->Nodes)
      this->killNode(*Item,
                     this->randomDuration(std::chrono::milliseconds(100),
                                          std::chrono::milliseconds(2000)));
    break;
  case 6: {
    const auto Chosen =
        std::next(this->Servers.begin(),
                  std::ptrdiff_t(this->pickIndex(this->Servers.size())));
    this->crashServer(Chosen->first);
    break;
  }
  case 7:
    this->drainServer();
    break;
  case 8:
    // Instances that cannot read the withdrawal must stop accepting keys in
    // time.
    if (this->changeKey())
      for (int Cut = 0; Cut < 2; ++Cut)
        this->disconnectFromStore(
            *this->Nodes[this->pickIndex(this->Nodes.size())],
            this->randomDuration(std::chrono::milliseconds(5000),
                                 std::chrono::milliseconds(9000)));
    break;
  case 9:
    this->changeEvacuation();
    break;
  case 10:
    this->logFault("the store drops its history");
    this->Tables.dropHistory();
    break;
  case 11:
    // Direct reads are answered, so all time limits hold.
    this->logFault("long reads of " + Victim.Name + " stall");
    Victim.ReadsStallUntil = Now + Time;
    break;
  case 12:
    this->activateStandby();
    break;
  case 13:
    this->logFault("the API for usage reports is out of reach");
    this->UsageApiDownUntil = Now + Time;
    break;
  case 14:
    this->disturbUsageHolder();
    break;
  case 15:
    this->stopWithUploads(Victim);
    break;
  case 16:
    this->killServerInAnswer();
    break;
  default:
    this->stopNode(Victim);
    break;
  }
}

} // namespace rr
