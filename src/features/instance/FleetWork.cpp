#include "instance/FleetWork.h"

#include "base/Timer.h"
#include "configuration/HeadView.h"
#include "instance/ControlCommit.h"
#include "instance/InstanceState.h"
#include "instance/ReportExchange.h"
#include "limits/LimitsJson.h"
#include "logging/EventLog.h"
#include "membership/MemberRows.h"
#include "membership/Timing.h"
#include "model/FleetConfig.h"
#include "platform/PlatformCalls.h"

#include <algorithm>
#include <utility>

namespace rr {

namespace {

constexpr std::chrono::seconds WorkPeriod{1};
constexpr std::chrono::milliseconds BarrierCheckPeriod{100};
// Answer time of servers that have not answered yet. A longer one made idle
// regions look too small, so that draining an idle server was refused.
constexpr std::chrono::milliseconds AssumedLatency{20};

std::map<std::string, ShareAmount> allowancesOf(const FleetConfig &Config) {
  std::map<std::string, ShareAmount> Result;
  for (const Workspace &Item : Config.Workspaces)
    Result[Item.Name] = {toMicroRequests(Item.Rate),
                         toMicroRequests(Item.Burst), 0};
  return Result;
}

} // namespace

FleetWork::FleetWork(InstanceState &State, const Platform &Store,
                     ReportExchange &Reports, asio::any_io_executor Executor,
                     std::string Holder, std::function<void()> OnControlChange)
    : State(State), Store(Store), Reports(Reports),
      OnControlChange(std::move(OnControlChange)),
      Lease("fleet", std::move(Holder)), Services(this->makeServices()),
      Plans(Store, this->Services),
      Executor(Executor, this->Plans, this->Services) {}

void FleetWork::stop() {
  this->Stopping = true;
  this->Executor.stop();
  this->Lease.drop();
}

PlanServices FleetWork::makeServices() {
  PlanServices Result;
  Result.CurrentConfig = [this] {
    // Before the first configuration there is an empty one, version 0.
    const auto Config = configOf(this->State);
    return Config ? Config : std::make_shared<const FleetConfig>();
  };
  Result.ConfigAt = [this](std::uint64_t Version) {
    return configAt(this->Store, Version);
  };
  Result.Commit =
      [this](ControlChange Change) -> asio::awaitable<Outcome<ControlMark>> {
    const std::string Lost = Change.LostInstance;
    const auto Mark = co_await commitControl(this->Store, std::move(Change));
    if (Mark && !Lost.empty())
      this->State.Control.members().declareLost(Lost);
    if (Mark)
      this->OnControlChange();
    co_return Mark;
  };
  Result.AwaitBarrier = [this](ControlMark Mark, Clock::duration AtMost) {
    return this->awaitBarrier(Mark, AtMost);
  };
  Result.FenceCheck = [this] { return this->Lease.fenceCheck(Clock::now()); };
  Result.RegionLoads = [this] { return this->regionLoads(); };
  Result.WorkspaceLoads = [this] { return this->workspaceLoads(); };
  Result.VersionHeadroom = [this](std::string Service, std::string Version) {
    return this->versionHeadroom(Service, Version);
  };
  Result.VersionReports = [this](std::string Service) {
    return this->versionReports(Service);
  };
  Result.StopOf = [this](std::string Plan) {
    return this->State.Routing.Guard.stopForPlan(Plan);
  };
  Result.Outstanding = [this](std::string Server) {
    return this->outstandingAt(Server);
  };
  Result.WallNow = [] { return std::chrono::system_clock::now(); };
  Result.Self = this->State.Shares.self().Instance;
  return Result;
}

asio::awaitable<BarrierReport> FleetWork::awaitBarrier(ControlMark Mark,
                                                       Clock::duration AtMost) {
  const Clock::time_point End = Clock::now() + AtMost;
  const auto Since =
      this->VisibleSince
          .try_emplace((Mark.Config << 32) + Mark.Keys, Clock::now())
          .first->second;
  const FleetBarrier Barrier({Mark.Config, Mark.Keys, 0}, Since);
  BarrierReport Result;
  for (;;) {
    const Clock::time_point Now = Clock::now();
    MemberTable &Members = this->State.Control.members();
    Result.Missing = Barrier.unacknowledged(Members);
    Result.Passed = Barrier.isInForce(Members, Now);
    if (Result.Passed || Now >= End || this->Stopping)
      co_return Result;
    co_await sleepFor(BarrierCheckPeriod);
  }
}

std::vector<RegionLoad> FleetWork::regionLoads() const {
  const Clock::time_point Now = Clock::now();
  std::map<std::string, RegionLoad> Sums;
  for (const InstanceReport *Item : this->Reports.recent(Now)) {
    RegionLoad &Sum = Sums[Item->Demand.Region];
    Sum.Region = Item->Demand.Region;
    for (const WorkspaceDemand &Part : Item->Demand.Workspaces)
      Sum.Load += toRequests(Part.Demand);
    Sum.Age = std::max(Sum.Age, Now - Item->MadeAt);
  }
  // Slots in use and slow starts say little about what a region can serve, so
  // that the capacity comes from the configured slots.
  const auto Latencies = this->latencies();
  if (const auto Config = configOf(this->State))
    for (const BackendServer &Item : Config->Servers) {
      const auto Sum = Sums.find(regionOfZone(*Config, Item.Zone));
      if (Item.Draining || Sum == Sums.end())
        continue;
      const auto Known =
          Latencies.find({Sum->first, Item.Service, Item.Version});
      const double Seconds =
          Known != Latencies.end()
              ? Known->second
              : std::chrono::duration<double>(AssumedLatency).count();
      Sum->second.Capacity += Item.Slots / Seconds;
    }
  std::vector<RegionLoad> Result;
  for (const auto &[Region, Sum] : Sums)
    Result.push_back(Sum);
  return Result;
}

FleetWork::Latencies FleetWork::latencies() const {
  std::map<Latencies::key_type, std::pair<double, double>> Sums;
  for (const InstanceReport *Item : this->Reports.recent(Clock::now()))
    for (const ServiceHeadroom &Part : Item->Headroom) {
      if (Part.Latency.count() == 0)
        continue;
      auto &[Sum, Weight] =
          Sums[{Item->Demand.Region, Part.Service, Part.Version}];
      // Ejected servers have no slots, and their latency still counts.
      const double Slots = std::max<std::uint32_t>(Part.Slots, 1);
      Sum += Slots * std::chrono::duration<double>(Part.Latency).count();
      Weight += Slots;
    }
  Latencies Result;
  for (const auto &[Where, Item] : Sums)
    Result[Where] = Item.first / Item.second;
  return Result;
}

std::vector<WorkspaceLoad> FleetWork::workspaceLoads() const {
  std::map<std::pair<std::string, std::string>, double> Sums;
  for (const InstanceReport *Item : this->Reports.recent(Clock::now()))
    for (const WorkspaceDemand &Part : Item->Demand.Workspaces)
      Sums[{Part.Workspace, Item->Demand.Region}] += toRequests(Part.Demand);
  std::vector<WorkspaceLoad> Result;
  for (const auto &[Where, Rate] : Sums)
    Result.push_back({Where.first, Where.second, Rate});
  return Result;
}

std::optional<double>
FleetWork::versionHeadroom(const std::string &Service,
                           const std::string &Version) const {
  double Slots = 0;
  double Free = 0;
  for (const InstanceReport *Item : this->Reports.recent(Clock::now()))
    for (const ServiceHeadroom &Part : Item->Headroom)
      if (Part.Service == Service && Part.Version == Version) {
        Slots += Part.Slots;
        Free += Part.FreeSlots;
      }
  if (Slots <= 0)
    return std::nullopt;
  return Free / Slots;
}

std::vector<VersionReport>
FleetWork::versionReports(const std::string &Service) const {
  std::vector<VersionReport> Result;
  for (const InstanceReport *Item : this->Reports.recent(Clock::now())) {
    const auto Found = Item->Versions.find(Service);
    if (Found != Item->Versions.end())
      Result.push_back({Item->Demand.Holder.Instance, Found->second});
  }
  return Result;
}

std::optional<std::uint64_t>
FleetWork::outstandingAt(const std::string &Server) const {
  std::optional<std::uint64_t> Sum;
  for (const InstanceReport *Item : this->Reports.recent(Clock::now())) {
    const auto Found = Item->Outstanding.find(Server);
    if (Found != Item->Outstanding.end())
      Sum = Sum.value_or(0) + Found->second;
  }
  return Sum;
}

asio::awaitable<void> FleetWork::followShares(std::uint64_t Epoch) {
  const auto Found =
      co_await readRow(this->Store, "shares/" + std::to_string(Epoch));
  if (!Found || !*Found)
    co_return;
  const auto Allocation = parseShareAllocation(
      nlohmann::json::parse((*Found)->Value, nullptr, false));
  if (Allocation)
    adoptShares(this->State, *Allocation, Clock::now());
}

void FleetWork::confirmShares(Clock::time_point Now) {
  const std::uint64_t Epoch = this->State.Shares.epoch();
  if (!this->State.Allocation || Epoch == this->ConfirmedEpoch)
    return;
  this->Allocator.observe(*this->State.Allocation, Now);
  const FleetBarrier Barrier({0, 0, Epoch}, Now);
  // Members that are silent have not acknowledged and are waited for.
  if (!Barrier.unacknowledged(this->State.Control.members()).empty())
    return;
  this->State.Shares.confirmBarrier(Epoch, Now);
  this->Allocator.confirmBarrier(Epoch, Now);
  this->ConfirmedEpoch = Epoch;
}

std::vector<AllocationMember>
FleetWork::allocationMembers(Clock::time_point Now) {
  std::map<std::string, const InstanceReport *> Known;
  for (const InstanceReport *Item : this->Reports.recent(Now))
    Known[Item->Demand.Holder.Instance] = Item;
  std::vector<AllocationMember> Result;
  MemberTable &Members = this->State.Control.members();
  for (const MemberEntry *Entry : Members.counted()) {
    // An instance that is known from the platform's list only has no run yet.
    if (Entry->Record.Incarnation == 0)
      continue;
    AllocationMember Item;
    Item.Holder = {Entry->Record.Name, Entry->Record.Incarnation};
    Item.Silent = Now - Entry->HeardAt > SilentAfter &&
                  Entry->Record.Name != Members.self().Name;
    const auto Found = Known.find(Entry->Record.Name);
    if (Found != Known.end() && Found->second->Demand.Holder == Item.Holder)
      Item.Report = Found->second->Demand;
    Result.push_back(std::move(Item));
  }
  return Result;
}

asio::awaitable<bool> FleetWork::writeEpoch(ShareAllocation Next) {
  const auto View = co_await readHead(this->Store);
  if (!View || View->Head.Versions.ShareEpoch + 1 != Next.Epoch)
    co_return false;
  ControlHead Head = View->Head;
  Head.Versions.ShareEpoch = Next.Epoch;
  const std::string RowKey = "shares/" + std::to_string(Next.Epoch);
  Transaction Writes;
  RowWrite Row;
  Row.Key = RowKey;
  Row.Value = formatShareAllocation(Next).dump();
  Row.ExpectedVersion = RowWrite::Absent;
  Writes.Writes.push_back(std::move(Row));
  Writes.Writes.push_back(makeHeadWrite(*View, Head));
  const auto Done =
      co_await this->Lease.commitFenced(this->Store, Writes, RowKey);
  co_return Done.has_value();
}

void FleetWork::declareLost(const std::string &Instance) {
  if (!this->State.Control.members().declareLost(Instance))
    return;
  this->LostToRecord.insert(Instance);
  this->OnControlChange();
}

asio::awaitable<void> FleetWork::recordLost() {
  const std::set<std::string> Open = this->LostToRecord;
  for (const std::string &Name : Open) {
    const MemberEntry *Entry = this->State.Control.members().find(Name);
    // A new process of that name supersedes the declaration.
    const bool IsLost = Entry && Entry->Record.State == MemberState::Lost;
    if (IsLost && !co_await writeMemberRow(this->Store, Entry->Record))
      co_return;
    this->LostToRecord.erase(Name);
  }
}

asio::awaitable<void> FleetWork::divideShares() {
  const Clock::time_point Now = Clock::now();
  const auto Config = configOf(this->State);
  if (!Config || !isFresh(this->State, Now))
    co_return;
  const auto Allowances = allowancesOf(*Config);
  const auto Members = this->allocationMembers(Now);
  if (Members.empty() || !this->Allocator.dueReason(Allowances, Members, Now))
    co_return;
  const ShareAllocation *Previous =
      this->State.Allocation ? &*this->State.Allocation : nullptr;
  const ShareAllocation Next =
      makeAllocation(Previous, this->Lease.fence(), Allowances, Members);
  if (!co_await this->writeEpoch(Next))
    co_return;
  co_await this->followShares(Next.Epoch);
  this->OnControlChange();
}

asio::awaitable<void> FleetWork::run() {
  while (!this->Stopping) {
    const Clock::time_point Now = Clock::now();
    this->confirmShares(Now);
    if (!this->State.Control.isStoreDown())
      co_await this->recordLost();
    // Relays know the whole fleet, so that only they work for it.
    if (this->State.Control.members().isRelay(Now) && !this->State.Leaving)
      co_await this->Lease.step(this->Store);
    const bool Held = this->holdsLease();
    if (Held != this->WasHeld)
      logEvent(Held ? Event::LeaseTaken : Event::LeaseLost,
               {{"lease", "fleet"}});
    this->WasHeld = Held;
    if (Held)
      co_await this->divideShares();
    co_await sleepFor(WorkPeriod);
  }
}

} // namespace rr
