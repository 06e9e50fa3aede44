#include "routing/ServerTable.h"

#include "model/FleetConfig.h"

#include <algorithm>

namespace rr {

namespace {

// At most one server in three of a service and zone may be ejected, so that
// a fault that all servers share can't take the service away.
constexpr std::uint32_t EjectionDivisor = 3;
// A server this much slower than the average of its version is slow.
constexpr int SlowFactor = 2;
constexpr std::chrono::milliseconds RecentUseTime{10};
// Saves a search per request while all slots are taken. Short, because slots
// that a slow start adds are noticed only after it.
constexpr std::chrono::milliseconds FullTime{5};

bool sharesBound(const ServerState &Server, std::string_view Service,
                 std::string_view Zone) {
  return Server.Config.Service == Service && Server.Config.Zone == Zone;
}

ServiceHeadroom headroomOfGroup(const std::vector<ServerPtr> &Owned,
                                Clock::time_point Now) {
  ServiceHeadroom Result;
  for (const ServerPtr &Server : Owned) {
    if (Server->Config.Draining ||
        Server->Health.health() != Ejection::Health::Healthy)
      continue;
    const std::uint32_t Slots = effectiveSlots(*Server, Now);
    const double Used = Server->Usage.value(Now) * Server->Config.Slots;
    Result.Slots += Slots;
    Result.FreeSlots += std::max(0.0, Slots - Used);
  }
  Result.Latency = meanLatency(Owned);
  return Result;
}

} // namespace

void ServerTable::configure(const FleetConfig &Config, std::string_view Region,
                            bool StartWarm, Clock::time_point Now) {
  std::vector<ServerPtr> After;
  for (const BackendServer &Item : Config.Servers) {
    if (regionOfZone(Config, Item.Zone) != Region)
      continue;
    ServerPtr Server = this->find(Item.Name);
    const bool IsNew = !Server || Server->Config.Version != Item.Version;
    if (!Server)
      Server = std::make_shared<ServerState>();
    Server->Config = Item;
    if (IsNew && !StartWarm)
      Server->Ramp.begin(1, Now);
    After.push_back(std::move(Server));
  }
  // A server that left the configuration may still have leases.
  for (const auto &Known : this->ByName)
    Known.second->Owned = Known.second->Owned &&
                          std::ranges::find(After, Known.second) != After.end();
  this->Servers = std::move(After);
  this->ByName.clear();
  for (const ServerPtr &Server : this->Servers)
    this->ByName.emplace(Server->Config.Name, Server);
  this->regroup();
}

void ServerTable::regroup() {
  this->Groups.clear();
  for (const ServerPtr &Server : this->Servers) {
    const BackendServer &Item = Server->Config;
    auto Found = std::ranges::find_if(this->Groups, [&](const auto &Group) {
      return Group.Service == Item.Service && Group.Version == Item.Version;
    });
    if (Found == this->Groups.end())
      Found = this->Groups.insert(
          Found, {Item.Service, Item.Version, {}, {}, {}, {}, {}});
    Found->All.push_back(Server);
    if (Server->Owned)
      Found->Owned.push_back(Server);
  }
}

void ServerTable::setOwned(
    const std::function<bool(const std::string &)> &Owns) {
  bool Changed = false;
  for (const ServerPtr &Server : this->Servers) {
    const bool Owned = Owns(Server->Config.Name);
    Changed = Changed || Owned != Server->Owned;
    Server->Owned = Owned;
  }
  if (Changed)
    this->regroup();
}

const ServerTable::VersionGroup *
ServerTable::group(std::string_view Service, std::string_view Version) const {
  for (const VersionGroup &Group : this->Groups)
    if (Group.Service == Service && Group.Version == Version)
      return &Group;
  return nullptr;
}

ServerPtr ServerTable::find(std::string_view Name) const {
  const auto Found = this->ByName.find(Name);
  return Found == this->ByName.end() ? nullptr : Found->second;
}

SlotLease ServerTable::lease(ServerPtr Server, bool Trial,
                             Clock::time_point Now) {
  if (!Server)
    return {};
  if (Trial)
    Server->Health.startTrial();
  ++Server->Outstanding;
  Server->Usage.set(double(Server->Outstanding) / Server->Config.Slots, Now);
  return {*this, std::move(Server), Trial, Now};
}

SlotLease ServerTable::acquire(std::string_view Service,
                               std::string_view Version, bool MayRetry,
                               RandomEngine &Random, Clock::time_point Now) {
  const VersionGroup *Group = this->group(Service, Version);
  if (!Group)
    return {};
  if (this->AnyFaulty)
    if (ServerPtr Trial = chooseTrial(Group->Owned, MayRetry, Now))
      return this->lease(std::move(Trial), true, Now);
  if (Now < Group->FullUntil)
    return {};
  ServerPtr Chosen =
      chooseServer(Group->Owned, Ejection::Health::Healthy, Random, Now);
  if (!Chosen)
    Group->FullUntil = Now + FullTime;
  return this->lease(std::move(Chosen), false, Now);
}

SlotLease ServerTable::acquireSuspect(std::string_view Service,
                                      std::string_view Version,
                                      RandomEngine &Random,
                                      Clock::time_point Now) {
  const VersionGroup *Group =
      this->AnyFaulty ? this->group(Service, Version) : nullptr;
  if (!Group)
    return {};
  return this->lease(
      chooseServer(Group->Owned, Ejection::Health::Suspect, Random, Now), false,
      Now);
}

void ServerTable::release(ServerState &Server, RequestOutcome Outcome,
                          bool Trial, std::chrono::nanoseconds Latency,
                          Clock::time_point Now) {
  --Server.Outstanding;
  if (const VersionGroup *Group =
          this->group(Server.Config.Service, Server.Config.Version))
    Group->FullUntil = {};
  Server.Usage.set(double(Server.Outstanding) / Server.Config.Slots, Now);
  if (Outcome == RequestOutcome::Success)
    Server.Latency.record(Latency, Now);
  // A server that returns may have been restarted, so its cache is cold.
  if (Server.Health.record(Outcome, Trial, Now))
    Server.Ramp.begin(1, Now);
  if (Server.Health.isFaulty(this->peerFailureRate(Server), Now)) {
    Server.Health.setFaulty(this->mayEject(Server), Now);
    this->AnyFaulty = true;
  } else
    Server.Health.setHealthy();
}

bool ServerTable::mayEject(const ServerState &Server) const {
  const std::string &Service = Server.Config.Service;
  const std::string &Zone = Server.Config.Zone;
  std::uint32_t Total = 0;
  for (const ServerPtr &Other : this->Servers)
    Total += sharesBound(*Other, Service, Zone) ? 1 : 0;
  const auto Elsewhere = this->EjectedElsewhere.find({Service, Zone});
  const std::uint32_t Ejected =
      this->ejectedHere(Service, Zone) +
      (Elsewhere == this->EjectedElsewhere.end() ? 0 : Elsewhere->second);
  return Ejected + 1 <= Total / EjectionDivisor;
}

double ServerTable::peerFailureRate(const ServerState &Server) const {
  const VersionGroup *Group =
      this->group(Server.Config.Service, Server.Config.Version);
  if (!Group)
    return 0;
  double Sum = 0;
  int Count = 0;
  for (const ServerPtr &Other : Group->Owned)
    if (Other.get() != &Server &&
        Other->Health.health() == Ejection::Health::Healthy) {
      Sum += Other->Health.failureRate();
      ++Count;
    }
  return Count > 0 ? Sum / Count : 0;
}

void ServerTable::reportLoad(std::string_view Name, double Load,
                             Clock::time_point Now) {
  const ServerPtr Server = this->find(Name);
  if (!Server)
    return;
  const VersionGroup *Group =
      this->group(Server->Config.Service, Server->Config.Version);
  const bool Slow =
      Server->Latency.value() > SlowFactor * meanLatency(Group->Owned);
  Server->Hint.report(Load, Server->Usage.value(Now), Slow, Now);
}

void ServerTable::beginSlowStart(std::string_view Name, Clock::time_point Now) {
  if (const ServerPtr Server = this->find(Name))
    Server->Ramp.begin(1, Now);
}

void ServerTable::beginLargeMove(std::string_view Service,
                                 std::string_view Version,
                                 Clock::time_point Now) {
  if (const VersionGroup *Group = this->group(Service, Version))
    for (const ServerPtr &Server : Group->All)
      Server->Ramp.begin(Server->Outstanding, Now);
}

void ServerTable::setEjectedElsewhere(std::string_view Service,
                                      std::string_view Zone,
                                      std::uint32_t Count) {
  this->EjectedElsewhere[{std::string(Service), std::string(Zone)}] = Count;
}

std::uint32_t ServerTable::ejectedHere(std::string_view Service,
                                       std::string_view Zone) const {
  std::uint32_t Count = 0;
  for (const ServerPtr &Server : this->Servers)
    if (Server->Owned && sharesBound(*Server, Service, Zone) &&
        Server->Health.health() == Ejection::Health::Ejected)
      ++Count;
  return Count;
}

std::vector<ServiceHeadroom>
ServerTable::headroom(Clock::time_point Now) const {
  std::vector<ServiceHeadroom> Result;
  for (const VersionGroup &Group : this->Groups) {
    if (Group.Owned.empty())
      continue;
    Result.push_back(headroomOfGroup(Group.Owned, Now));
    Result.back().Service = Group.Service;
    Result.back().Version = Group.Version;
  }
  return Result;
}

VersionUse ServerTable::recentUse(std::string_view Service,
                                  std::string_view Version,
                                  Clock::time_point Now) const {
  const VersionGroup *Group = this->group(Service, Version);
  if (!Group)
    return this->use(Service, Version, Now);
  if (Now >= Group->RecentUntil) {
    Group->Recent = this->use(Service, Version, Now);
    Group->RecentUntil = Now + RecentUseTime;
  }
  return Group->Recent;
}

VersionUse ServerTable::use(std::string_view Service, std::string_view Version,
                            Clock::time_point Now) const {
  VersionUse Result;
  const VersionGroup *Group = this->group(Service, Version);
  std::chrono::nanoseconds Sum{0};
  int Answered = 0;
  const auto Owned = Group ? std::span<const ServerPtr>(Group->Owned)
                           : std::span<const ServerPtr>();
  for (const ServerPtr &Server : Owned) {
    Result.Outstanding += Server->Outstanding;
    if (!Server->Config.Draining)
      Result.Slots += effectiveSlots(*Server, Now);
    Sum += Server->Latency.value();
    Answered += Server->Latency.value().count() > 0 ? 1 : 0;
  }
  Result.Latency = Answered > 0 ? Sum / Answered : meanLatency({});
  return Result;
}

} // namespace rr
