#include "routing/PeerLoads.h"

#include "model/FleetConfig.h"
#include "routing/OwnerTable.h"

#include <algorithm>

namespace rr {

namespace {

constexpr std::chrono::seconds MaxReportAge{3};
// Random picks before all peers of a zone are looked at in turn.
constexpr int MaxPicks = 8;
// A full peer keeps a small weight: a report is up to a second old.
constexpr double MinFreeSlots = 0.25;

// Lower is better.
double scoreOf(const PeerLoad &Peer, std::uint32_t Deciders,
               Clock::time_point Now) {
  const bool Fresh = Peer.Reported && Now - Peer.ReportedAt < MaxReportAge;
  if (!Fresh)
    return (Peer.Outstanding + 1.0) * Deciders / std::max(Peer.Slots, 1u);
  const double Free =
      Peer.Report.FreeSlots + Peer.OutstandingAtReport - Peer.Outstanding;
  return 1 / std::max(MinFreeSlots, Free);
}

} // namespace

void PeerLoads::configure(const FleetConfig &Config, const OwnerTable &Owners,
                          std::uint32_t DeciderCount) {
  this->Deciders = std::max(DeciderCount, 1u);
  std::vector<PeerGroup> After;
  for (std::size_t I = 0; I < Config.Servers.size(); ++I) {
    const BackendServer &Server = Config.Servers[I];
    if (I >= Owners.servers().size() ||
        Owners.servers()[I].Server != Server.Name)
      continue;
    const OwnedServer &Owned = Owners.servers()[I];
    if (Owned.Region != this->Region || Owned.Owner.empty() ||
        Owned.Owner == this->Self || Server.Draining)
      continue;
    auto Group = std::ranges::find_if(After, [&](const PeerGroup &Item) {
      return Item.Service == Server.Service && Item.Version == Server.Version;
    });
    if (Group == After.end())
      Group = After.insert(Group, {Server.Service, Server.Version, {}, {}});
    PeerPtr Peer = this->findPeer(*Group, Owned.Owner);
    if (!Peer) {
      const PeerGroup *Known = this->group(Server.Service, Server.Version);
      if (Known)
        Peer = this->findPeer(*Known, Owned.Owner);
      if (!Peer)
        Peer = std::make_shared<PeerLoad>();
      Peer->Instance = Owned.Owner;
      Peer->SameZone = Server.Zone == this->Zone;
      Peer->Slots = 0;
      (Peer->SameZone ? Group->SameZone : Group->OtherZones).push_back(Peer);
    }
    Peer->Slots += Server.Slots;
  }
  this->Groups = std::move(After);
}

void PeerLoads::report(std::string_view Instance,
                       const ServiceHeadroom &Headroom, Clock::duration Age,
                       Clock::time_point Now) {
  const PeerGroup *Group = this->group(Headroom.Service, Headroom.Version);
  const PeerPtr Peer = Group ? this->findPeer(*Group, Instance) : nullptr;
  // Reports may arrive out of order over two relays.
  if (!Peer || (Peer->Reported && Now - Age < Peer->ReportedAt))
    return;
  Peer->Report = Headroom;
  Peer->ReportedAt = Now - Age;
  Peer->Reported = true;
  Peer->OutstandingAtReport = Peer->Outstanding;
}

ForwardLease PeerLoads::choose(std::string_view Service,
                               std::string_view Version, RandomEngine &Random,
                               Clock::time_point Now) const {
  const PeerGroup *Group = this->group(Service, Version);
  if (!Group)
    return {};
  PeerPtr Peer = this->pick(Group->SameZone, Random, Now);
  if (!Peer)
    Peer = this->pick(Group->OtherZones, Random, Now);
  return ForwardLease(std::move(Peer));
}

bool PeerLoads::isUsable(const PeerLoad &Peer, Clock::time_point Now) const {
  return Peer.Outstanding < Peer.Slots && Now >= Peer.AvoidUntil;
}

PeerLoads::PeerPtr PeerLoads::pick(const std::vector<PeerPtr> &Peers,
                                   RandomEngine &Random,
                                   Clock::time_point Now) const {
  const PeerPtr *Best = nullptr;
  int Found = 0;
  const auto Look = [&](const PeerPtr &Peer) {
    if (!this->isUsable(*Peer, Now) || (Best && Best->get() == Peer.get()))
      return;
    ++Found;
    if (!Best || scoreOf(*Peer, this->Deciders, Now) <
                     scoreOf(**Best, this->Deciders, Now))
      Best = &Peer;
  };
  if (Peers.empty())
    return nullptr;
  const std::size_t Start = Random() % Peers.size();
  Look(Peers[Start]);
  for (int Pick = 1; Pick < MaxPicks && Found < 2; ++Pick)
    Look(Peers[Random() % Peers.size()]);
  for (std::size_t I = 0; I < Peers.size() && !Best; ++I)
    Look(Peers[(Start + I) % Peers.size()]);
  return Best ? *Best : nullptr;
}

std::uint32_t PeerLoads::slots(std::string_view Service,
                               std::string_view Version) const {
  const PeerGroup *Group = this->group(Service, Version);
  if (!Group)
    return 0;
  std::uint32_t Sum = 0;
  for (const PeerPtr &Peer : Group->SameZone)
    Sum += Peer->Slots;
  for (const PeerPtr &Peer : Group->OtherZones)
    Sum += Peer->Slots;
  return Sum;
}

const PeerLoads::PeerGroup *PeerLoads::group(std::string_view Service,
                                             std::string_view Version) const {
  for (const PeerGroup &Group : this->Groups)
    if (Group.Service == Service && Group.Version == Version)
      return &Group;
  return nullptr;
}

PeerLoads::PeerPtr PeerLoads::findPeer(const PeerGroup &Group,
                                       std::string_view Instance) const {
  for (const auto *Peers : {&Group.SameZone, &Group.OtherZones})
    for (const PeerPtr &Peer : *Peers)
      if (Peer->Instance == Instance)
        return Peer;
  return nullptr;
}

} // namespace rr
