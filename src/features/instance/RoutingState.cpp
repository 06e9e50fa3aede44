#include "instance/RoutingState.h"

#include "membership/MemberTable.h"
#include "model/FleetConfig.h"

namespace rr {

namespace {

std::vector<OwnerMember> ownerMembers(const MemberTable &Members,
                                      const FleetConfig &Config,
                                      Clock::time_point Now) {
  std::vector<OwnerMember> Result;
  for (const MemberEntry *Entry : Members.counted()) {
    const Member &Item = Entry->Record;
    if (Members.isLive(*Entry, Now))
      Result.push_back({Item.Name, Item.Zone, regionOfZone(Config, Item.Zone)});
  }
  return Result;
}

std::uint32_t decidersOf(const std::vector<OwnerMember> &Members,
                         const std::string &Region) {
  std::uint32_t Count = 0;
  for (const OwnerMember &Item : Members)
    Count += Item.Region == Region ? 1 : 0;
  return std::max(1U, Count);
}

std::set<std::string> ownedServers(const OwnerTable &Owners,
                                   Clock::time_point Now) {
  std::set<std::string> Result;
  for (const OwnedServer &Item : Owners.servers())
    if (Owners.owns(Item.Server, Now))
      Result.insert(Item.Server);
  return Result;
}

// The guard stops versions between configurations.
void applyStops(RoutingState &Routing, const FleetConfig &Config) {
  VersionChooser &Versions = Routing.Routes->versions();
  for (const VersionSplit &Split : Config.Splits) {
    const auto *Choice = Versions.find(Split.Service);
    if (Choice && Choice->CanaryShare > 0 &&
        Routing.Guard.isStopped(Split.Service, Choice->Canary))
      Versions.stopVersion(Split.Service, Choice->Canary);
  }
}

} // namespace

void updateRouting(RoutingState &Routing, const FleetConfig &Config,
                   MemberTable &Members, bool MayOwn, Clock::time_point Now) {
  const Member &Self = Members.self();
  const std::string Region = regionOfZone(Config, Self.Zone);
  if (Region.empty())
    return;
  const bool First = !Routing.Routes;
  if (First)
    Routing.Routes = std::make_unique<Router>(Self.Name, Self.Zone, Region);
  const std::set<std::string> Before = ownedServers(Routing.Owners, Now);
  const auto Live = ownerMembers(Members, Config, Now);
  Routing.Owners.update(Config, Live, MayOwn, Now);
  for (const std::string &Server : Before)
    if (!Routing.Owners.owns(Server, Now))
      Routing.HandOvers.insert(Server);
  if (First || Config.Version != Routing.ConfigVersion)
    Routing.Guard.adopt(Config);
  Routing.ConfigVersion = Config.Version;
  Routing.Routes->configure(Config, Routing.Owners, decidersOf(Live, Region),
                            First, Now);
  applyStops(Routing, Config);
}

} // namespace rr
