#include "bench/CapacityBench.h"
#include "bench/CapacityFleet.h"
#include "bench/CapacityMeter.h"
#include "bench/CapacitySeries.h"
#include "instance/RoutingState.h"
#include "limits/LimitsJson.h"
#include "limits/ShareAllocator.h"
#include "limits/ShareBalancer.h"
#include "limits/ShareLedger.h"
#include "membership/MemberTable.h"
#include "rollout/VersionGuard.h"

#include <cstdlib>

namespace rr {

namespace {

constexpr std::size_t MemberCounts[] = {12, 325, 650, 1300};
constexpr std::size_t ServerCounts[] = {48, 1300, 5200};
constexpr std::size_t WorkspaceCounts[] = {8, 32, 128};
constexpr std::size_t RouteCounts[] = {1, 3, 12};

std::vector<CapacityFleet> fleetsOf(std::span<const std::size_t> Counts,
                                    std::size_t CapacityFleet::*Size) {
  std::vector<CapacityFleet> Result;
  for (const std::size_t Count : Counts) {
    Result.push_back(CapacityFleet::toCome());
    Result.back().*Size = Count;
    Result.back().Blocks = 0;
  }
  return Result;
}

std::map<std::string, ShareAmount>
allowancesOf(const ShareAllocation &Allocation) {
  std::map<std::string, ShareAmount> Result;
  for (const auto &[Name, Part] : Allocation.Workspaces)
    Result[Name] = Part.Total;
  return Result;
}

CapacityCost costOfBalance(const CapacityFleet &Fleet) {
  const ShareAllocation Present = Fleet.allocation();
  std::vector<DemandReport> Reports;
  for (std::size_t I = 0; I < Fleet.Members; ++I)
    Reports.push_back(Fleet.demand(I));
  CapacityCost Result = measureCost(
      [&] { return planReleases(Reports, Fleet.zone(0), Present); });
  // All moves of a zone, as JSON of the messages to its givers.
  for (const ShareRelease &Move : planReleases(Reports, Fleet.zone(0), Present))
    Result.WireBytes += static_cast<std::int64_t>(
        nlohmann::json::to_cbor(formatShareMove(Move)).size());
  return Result;
}

CapacityCost costOfDivision(const CapacityFleet &Fleet) {
  const ShareAllocation Present = Fleet.allocation();
  std::vector<AllocationMember> Members;
  for (std::size_t I = 0; I < Fleet.Members; ++I)
    Members.push_back({{Fleet.member(I).Name, 1}, Fleet.demand(I)});
  const auto Allowances = allowancesOf(Present);
  CapacityCost Result = measureCost([&] {
    return formatShareAllocation(
               makeAllocation(&Present, 3, Allowances, Members))
        .dump();
  });
  Result.WireBytes =
      static_cast<std::int64_t>(formatShareAllocation(Present).dump().size());
  return Result;
}

CapacityCost costOfEpoch(const CapacityFleet &Fleet) {
  const std::string Row = formatShareAllocation(Fleet.allocation()).dump();
  CapacityCost Result = measureCost([&] {
    auto Parsed = parseShareAllocation(nlohmann::json::parse(Row));
    if (!Parsed)
      std::abort();
    const auto Now = Clock::now();
    ShareLedger Ledger({Fleet.member(0).Name, 1}, Now);
    if (!Ledger.adopt(*Parsed, Now))
      std::abort();
    return std::pair(std::move(*Parsed), std::move(Ledger));
  });
  Result.WireBytes = static_cast<std::int64_t>(Row.size());
  return Result;
}

void measureShares(const char *Unit, const std::vector<CapacityFleet> &Fleets,
                   std::size_t CapacityFleet::*Size) {
  CapacitySeries Balance("balance round of a relay", Unit);
  CapacitySeries Division("share epoch: divide and write", Unit);
  CapacitySeries Epoch("share epoch: read and adopt", Unit);
  for (const CapacityFleet &Fleet : Fleets) {
    Balance.add(Fleet.*Size, costOfBalance(Fleet));
    Division.add(Fleet.*Size, costOfDivision(Fleet));
    Epoch.add(Fleet.*Size, costOfEpoch(Fleet));
  }
  Balance.print();
  Division.print();
  Epoch.print();
}

struct RoutingCosts {
  CapacityCost Turn;
  CapacityCost Owners;
  CapacityCost Tables;
};

RoutingCosts costOfRouting(const CapacityFleet &Fleet) {
  RoutingCosts Result;
  const FleetConfig Config = Fleet.config(1);
  const Member Self = Fleet.member(0);
  const auto Now = Clock::now();
  MemberTable Members(Self);
  Fleet.fill(Members, Now);
  std::vector<OwnerMember> Live;
  for (std::size_t I = 0; I < Fleet.Members; ++I) {
    const Member Item = Fleet.member(I);
    Live.push_back({Item.Name, Item.Zone, Item.Region});
  }
  Result.Owners = measureCost([&] {
    OwnerTable Owners(Self.Name);
    Owners.update(Config, Live, true, Now);
    return Owners;
  });
  OwnerTable Owners(Self.Name);
  Owners.update(Config, Live, true, Now);
  Result.Tables = measureCost([&] {
    auto Routes = std::make_unique<Router>(Self.Name, Self.Zone, Self.Region);
    Routes->configure(Config, Owners, 160, true, Now);
    return Routes;
  });
  RoutingState Routing(Self.Name, 1);
  Result.Turn.Cpu =
      measureCpu([&] { updateRouting(Routing, Config, Members, true, Now); });
  return Result;
}

void measureRouting(const char *Unit, const std::vector<CapacityFleet> &Fleets,
                    std::size_t CapacityFleet::*Size) {
  CapacitySeries Turn("updateRouting, 10 times a second", Unit);
  CapacitySeries Owners("owner table", Unit);
  CapacitySeries Tables("router: configure", Unit);
  for (const CapacityFleet &Fleet : Fleets) {
    const RoutingCosts Costs = costOfRouting(Fleet);
    Turn.add(Fleet.*Size, Costs.Turn);
    Owners.add(Fleet.*Size, Costs.Owners);
    Tables.add(Fleet.*Size, Costs.Tables);
  }
  Turn.print();
  Owners.print();
  Tables.print();
}

VersionStats versionStats(std::size_t Routes, std::uint64_t Requests) {
  VersionStats Result;
  Result.Plan = "plan-1";
  for (std::size_t I = 0; I < Routes; ++I)
    for (const char *Version : {"v1", "v2"})
      Result.Counts[{"route-" + std::to_string(I), Version}] = {
          Requests, Requests / 100, Requests / 20};
  return Result;
}

FleetConfig rolloutConfig() {
  FleetConfig Result;
  Result.Version = 1;
  Result.Splits.push_back({"service", "v1", "v2", 0.05, "plan-1"});
  return Result;
}

void measureRollouts() {
  CapacitySeries Stats("rollout statistics: encode", "routes");
  for (const std::size_t Count : RouteCounts) {
    const VersionStats Item = versionStats(Count, 123456);
    CapacityCost Cost;
    Cost.Cpu = measureCpu([&] {
      Cost.WireBytes = static_cast<std::int64_t>(
          nlohmann::json::to_cbor(encodeVersionStats(Item)).size());
    });
    Stats.add(Count, Cost);
  }
  Stats.print();
  CapacitySeries Observe("rollout: take the counts of all, 3 routes",
                         "members");
  for (const std::size_t Count : MemberCounts) {
    std::vector<std::string> Names;
    for (std::size_t I = 0; I < Count; ++I)
      Names.push_back(CapacityFleet().member(I).Name);
    const auto Round = [&](VersionGuard &Guard, std::uint64_t Turn) {
      const auto At = Clock::now();
      for (const std::string &Name : Names)
        Guard.observe("service", Name, versionStats(3, 1000 + Turn), At);
    };
    CapacityCost Cost = measureCost([&] {
      auto Guard = std::make_unique<VersionGuard>("self");
      Guard->adopt(rolloutConfig());
      Round(*Guard, 0);
      return Guard;
    });
    VersionGuard Guard("self");
    Guard.adopt(rolloutConfig());
    std::uint64_t Turn = 0;
    Cost.Cpu = measureCpu([&] { Round(Guard, ++Turn); });
    Observe.add(Count, Cost);
  }
  Observe.print();
}

} // namespace

void measureShareCapacity() {
  measureShares("members", fleetsOf(MemberCounts, &CapacityFleet::Members),
                &CapacityFleet::Members);
  auto Fleets = fleetsOf(WorkspaceCounts, &CapacityFleet::Workspaces);
  measureShares("workspaces", Fleets, &CapacityFleet::Workspaces);
}

void measureRoutingCapacity() {
  measureRouting("members", fleetsOf(MemberCounts, &CapacityFleet::Members),
                 &CapacityFleet::Members);
  measureRouting("servers", fleetsOf(ServerCounts, &CapacityFleet::Servers),
                 &CapacityFleet::Servers);
  measureRollouts();
}

} // namespace rr
