#include "bench/CapacityFleet.h"

namespace rr {

namespace {

constexpr ControlVersions HeldVersions{4400, 100000, 12};
constexpr double WorkspaceRate = 120000;
constexpr std::size_t SitesPerBlock = 4;
constexpr std::size_t DistinctLists = 8000;

// Numbers of one length, so that the order of names is the order of numbers.
std::string numbered(const char *Kind, std::size_t Index) {
  return Kind + std::to_string(10000 + Index);
}

std::string address(std::size_t Index, const char *Port) {
  return "10." + std::to_string(100 + (Index >> 8 & 127)) + "." +
         std::to_string(100 + (Index & 127)) + ".40:" + Port;
}

ClientBlock block(const CapacityFleet &Fleet, std::size_t Index) {
  ClientBlock Result;
  // Odd multiplier: every /24 of IPv4 once, in scattered order.
  const std::size_t Number = Index * 2654435761U & 0xffffff;
  Result.Prefix = std::to_string(Number >> 16) + "." +
                  std::to_string(Number >> 8 & 255) + "." +
                  std::to_string(Number & 255) + ".0/24";
  std::size_t List = Number % DistinctLists;
  for (std::size_t I = 0; I < SitesPerBlock; ++I) {
    Result.Sites.push_back(numbered("site-", List % Fleet.Sites));
    List = List * 31 + 7;
  }
  return Result;
}

} // namespace

CapacityFleet CapacityFleet::toCome() {
  CapacityFleet Result;
  Result.Members = 1300;
  Result.Zones = 27;
  Result.Regions = 8;
  Result.Blocks = 260000;
  Result.Sites = 260;
  Result.Servers = 5200;
  return Result;
}

std::string CapacityFleet::zone(std::size_t Index) const {
  return "zone-" + std::to_string(Index % this->Zones);
}

std::string CapacityFleet::region(std::size_t Index) const {
  return "region-" + std::to_string(Index % this->Zones % this->Regions);
}

Member CapacityFleet::member(std::size_t Index) const {
  Member Result;
  Result.Name = numbered("instance-", Index);
  Result.Zone = this->zone(Index);
  Result.Region = this->region(Index);
  Result.CallerAddress = address(Index, "8080");
  Result.PeerAddress = address(Index, "8081");
  Result.Incarnation = 1;
  return Result;
}

FleetConfig CapacityFleet::config(std::uint64_t Version) const {
  FleetConfig Result;
  Result.Version = Version;
  for (std::size_t I = 0; I < this->Zones; ++I)
    Result.Zones.push_back({this->zone(I), this->region(I)});
  for (std::size_t I = 0; I < this->Sites; ++I)
    Result.Sites.push_back({numbered("site-", I), this->zone(I)});
  for (std::size_t I = 0; I < this->Blocks; ++I)
    Result.Blocks.push_back(block(*this, I));
  for (std::size_t I = 0; I < this->Workspaces; ++I)
    Result.Workspaces.push_back(
        {numbered("workspace-", I), WorkspaceRate, WorkspaceRate});
  for (std::size_t I = 0; I < this->Services; ++I) {
    const std::string Name = numbered("service-", I);
    Result.Routes.push_back(
        {numbered("route-", I), Name, {"GET", "POST"}, "/" + Name, false});
  }
  for (std::size_t I = 0; I < this->Servers; ++I)
    Result.Servers.push_back(
        {numbered("server-", I), numbered("service-", I % this->Services), "v1",
         this->zone(I), address(I, "9000"), 6, 400, false});
  return Result;
}

DemandReport CapacityFleet::demand(std::size_t Index) const {
  DemandReport Result;
  Result.Holder = {this->member(Index).Name, 1};
  Result.Zone = this->zone(Index);
  Result.Region = this->region(Index);
  Result.Epoch = HeldVersions.ShareEpoch;
  const auto Share =
      toMicroRequests(WorkspaceRate / static_cast<double>(this->Members));
  for (std::size_t I = 0; I < this->Workspaces; ++I)
    Result.Workspaces.push_back(
        {numbered("workspace-", I),
         {Share, Share, Share / 2},
         // Uneven, so that there are shares to move.
         Share / 10 * static_cast<MicroRequests>((Index + I) % 10)});
  return Result;
}

InstanceReport CapacityFleet::report(std::size_t Index,
                                     Clock::time_point Now) const {
  InstanceReport Result;
  Result.MadeAt = Now;
  Result.Demand = this->demand(Index);
  for (std::size_t I = 0; I < this->Services; ++I)
    Result.Headroom.push_back({numbered("service-", I), "v1", 24, 11.37,
                               std::chrono::nanoseconds(23456789)});
  return Result;
}

LoadReport CapacityFleet::load() const {
  LoadReport Result;
  for (std::size_t I = 0; I < this->Workspaces; ++I)
    Result.Demand[numbered("workspace-", I)] = 123.4;
  for (std::size_t I = 0; I < this->Services; ++I)
    Result.Headroom[numbered("service-", I)] = 11.37;
  return Result;
}

ShareAllocation CapacityFleet::allocation() const {
  ShareAllocation Result;
  Result.Epoch = HeldVersions.ShareEpoch;
  Result.Fence = 3;
  const auto Total = toMicroRequests(WorkspaceRate);
  const auto Share =
      toMicroRequests(WorkspaceRate / static_cast<double>(this->Members));
  for (std::size_t I = 0; I < this->Members; ++I)
    Result.Holders.insert({this->member(I).Name, 1});
  for (std::size_t I = 0; I < this->Workspaces; ++I) {
    WorkspaceAllocation &Part = Result.Workspaces[numbered("workspace-", I)];
    Part.Total = {Total, Total, 0};
    for (const ShareHolder &Holder : Result.Holders)
      Part.Shares[Holder] = {Share, Share, 0};
  }
  return Result;
}

void CapacityFleet::fill(MemberTable &Table, Clock::time_point At) const {
  for (std::size_t I = 0; I < this->Members; ++I) {
    const Member Item = this->member(I);
    if (Item.Name == Table.self().Name)
      continue;
    Table.merge(Item);
    const std::size_t Zone = I % this->Zones;
    if (Zone == 0 || Zone > this->SilentZones)
      Table.heard(Item.Name, 1, At);
    Table.acknowledge(Item.Name, 1, HeldVersions);
    Table.setSynchronised(Item.Name, 1);
  }
}

} // namespace rr
