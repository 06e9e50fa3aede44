#include "plans/MakePlan.h"

#include "model/FleetConfig.h"
#include "model/FleetConfigJson.h"
#include "plans/ConfigDiff.h"
#include "plans/PlanEdits.h"
#include "plans/PlanForecast.h"
#include "plans/PlanText.h"
#include "rollout/RolloutSchedule.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace rr {

namespace {

using namespace std::chrono_literals;

// Share of the time to the deadline that the steps are spread over; the rest
// is for barriers and pauses.
constexpr double UsedTime = 0.7;
// Longest pause between steps; more would make short plans needlessly long.
constexpr std::chrono::milliseconds LongestInterval{30s};

struct Maker {
  const PlanInputs &Inputs;
  Plan &Result;
  std::vector<std::string> &Problems;

  void problem(const std::string &Text) { this->Problems.push_back(Text); }

  void requireWorkspace(const std::string &Name) {
    if (!findWorkspace(this->Inputs.Config, Name))
      this->problem("workspace " + Name + " is not defined");
  }

  void requireRegion(const std::string &Name) {
    const auto &Zones = this->Inputs.Config.Zones;
    const auto Same = [&](const Zone &Item) { return Item.Region == Name; };
    if (std::none_of(Zones.begin(), Zones.end(), Same))
      this->problem("region " + Name + " is not defined");
  }

  void operator()(const TakeOnWorkspace &Wish) {
    if (findWorkspace(this->Inputs.Config, Wish.Workspace))
      this->problem("workspace " + Wish.Workspace + " exists already");
    for (const std::string &Region : Wish.EntryRegions)
      this->requireRegion(Region);
    this->Result.Changes = {"workspace " + Wish.Workspace + " is added with " +
                            formatNumber(Wish.Rate) + " requests/s and burst " +
                            formatNumber(Wish.Burst)};
    this->Result.Workspaces = {Wish.Workspace};
    this->Result.Targets = {"workspace/" + Wish.Workspace};
    this->Result.WayBack = "withdraw its keys, then load a document without it";
  }

  void operator()(const SetRate &Wish) {
    this->requireWorkspace(Wish.Workspace);
    const Workspace *Now = findWorkspace(this->Inputs.Config, Wish.Workspace);
    const Workspace Old = Now ? *Now : Workspace();
    this->Result.Changes = {
        "rate of " + Wish.Workspace + ": " + formatNumber(Old.Rate) + " to " +
            formatNumber(Wish.Rate) + " requests/s",
        "burst of " + Wish.Workspace + ": " + formatNumber(Old.Burst) + " to " +
            formatNumber(Wish.Burst)};
    this->Result.Workspaces = {Wish.Workspace};
    this->Result.Targets = {"workspace/" + Wish.Workspace};
    this->Result.WayBack = "set_rate with " + formatNumber(Old.Rate) +
                           " requests/s and burst " + formatNumber(Old.Burst);
  }

  void operator()(const IssueKey &Wish) {
    this->requireWorkspace(Wish.Workspace);
    this->Result.Changes = {"a new key acts for workspace " + Wish.Workspace};
    this->Result.Workspaces = {Wish.Workspace};
    this->Result.Targets = {"key/" + Wish.KeyHash};
    this->Result.WayBack = "withdraw_key with the same key_hash";
  }

  void operator()(const WithdrawKey &Wish) {
    this->Result.Changes = {"key " + Wish.KeyHash.substr(0, 8) +
                            " stops working, for connected callers as well"};
    this->Result.Targets = {"key/" + Wish.KeyHash};
    this->Result.WayBack = "none; issue a new key";
  }

  void operator()(const DeclareLost &Wish) {
    this->Result.Changes = {"nobody waits for instance " + Wish.Instance +
                            " any more"};
    this->Result.Caps = {"only for a process that certainly no longer runs: "
                         "the guarantee for withdrawn keys rests on it"};
    this->Result.Targets = {"instance/" + Wish.Instance};
    this->Result.WayBack = "restart the instance";
  }

  void operator()(const LoadDocument &Wish) {
    const auto Document = parseFleetConfig(Wish.Document, this->Problems);
    if (!Document)
      return;
    this->Result.Changes = describeChanges(this->Inputs.Config, *Document);
    std::set<std::string> Names;
    for (const FleetConfig *Config :
         {&this->Inputs.Config, static_cast<const FleetConfig *>(&*Document)})
      for (const Workspace &Item : Config->Workspaces)
        if (!agreeOn(this->Inputs.Config, *Document, "workspace/" + Item.Name))
          Names.insert(Item.Name);
    this->Result.Workspaces.assign(Names.begin(), Names.end());
    this->Result.Targets = {"document"};
    this->Result.WayBack = "load the document of version " +
                           std::to_string(this->Inputs.Config.Version);
  }

  void operator()(const DrainServer &Wish) {
    const BackendServer *Server = findServer(this->Inputs.Config, Wish.Server);
    if (!Server)
      this->problem("server " + Wish.Server + " is not defined");
    else if (Server->Draining != Wish.Undo)
      this->problem("server " + Wish.Server + " is " +
                    (Wish.Undo ? "not draining" : "draining already"));
    this->Result.Changes = {
        "server " + Wish.Server +
        (Wish.Undo ? " gets new work again" : " gets no new work within 5 s")};
    this->Result.Targets = {"server/" + Wish.Server};
    this->Result.StartShare = Wish.Undo ? 1 : 0;
    this->Result.Steps = {
        {0ms, Wish.Undo ? 0.0 : 1.0, this->Result.Changes[0]}};
    this->Result.WayBack =
        Wish.Undo ? "drain_server" : "take back, or drain_server with undo";
    this->allWorkspaces();
  }

  void allWorkspaces() {
    for (const Workspace &Item : this->Inputs.Config.Workspaces)
      this->Result.Workspaces.push_back(Item.Name);
  }

  void operator()(const MoveTraffic &Wish) {
    this->requireWorkspace(Wish.Workspace);
    this->requireRegion(Wish.ToRegion);
    if (!Wish.FromRegion.empty())
      this->requireRegion(Wish.FromRegion);
    if (Wish.Deadline <= this->Inputs.Now)
      this->problem("the deadline has passed");
    const double Start = shareIn(this->Inputs.Config, this->Result);
    if (Start > Wish.Cap)
      this->problem("the share is " + formatPercent(Start) +
                    " now, above the cap");
    if (Start == Wish.Share)
      this->problem("the share is " + formatPercent(Start) + " already");
    this->Result.StartShare = Start;
    this->Result.Workspaces = {Wish.Workspace};
    this->Result.Targets = {"traffic/" + Wish.Workspace};
    this->Result.Changes = {"traffic of " + Wish.Workspace + " served in " +
                            Wish.ToRegion + ": " + formatPercent(Start) +
                            " to " + formatPercent(Wish.Share)};
    this->Result.Caps = {"at no moment more than " + formatPercent(Wish.Cap) +
                             " of the traffic of " + Wish.Workspace,
                         "no step up while " + Wish.ToRegion +
                             " has less than 20% headroom"};
    this->addSteps(Wish, Start);
    this->Result.WayBack = "take back in steps of at most " +
                           formatPercent(Wish.BackCap) + " to " +
                           formatPercent(Start);
  }

  void addSteps(const MoveTraffic &Wish, double Start) {
    const auto Time = std::chrono::duration_cast<std::chrono::milliseconds>(
        Wish.Deadline - this->Inputs.Now);
    const auto Even = std::chrono::milliseconds(static_cast<std::int64_t>(
        UsedTime * static_cast<double>(Time.count()) / Wish.Steps));
    const auto After = std::min(Even, LongestInterval);
    for (std::uint32_t I = 1; I <= Wish.Steps; ++I) {
      // Rounded down to a millionth, so that no step passes the target.
      const double Exact = Start + (Wish.Share - Start) * I / Wish.Steps;
      const double Share =
          I == Wish.Steps ? Wish.Share : std::floor(Exact * 1e6) / 1e6;
      this->Result.Steps.push_back({I == 1 ? 0ms : After, Share,
                                    "move " + formatPercent(Share) + " of " +
                                        Wish.Workspace + " to " +
                                        Wish.ToRegion});
    }
  }

  void operator()(const RollOutVersion &Wish) {
    const auto Whole = std::chrono::duration_cast<std::chrono::seconds>(
        Wish.Deadline - this->Inputs.Now);
    const auto Soak = soakOf(Wish, this->Inputs.Now);
    if (Whole < RolloutSchedule::minDuration(Soak))
      this->problem("a rollout needs at least " +
                    std::to_string(RolloutSchedule::minDuration(Soak).count()) +
                    " s; the deadline is in " + std::to_string(Whole.count()) +
                    " s");
    this->checkVersions(Wish);
    this->Result.Changes = {"service " + Wish.Service + " goes to version " +
                            Wish.Version};
    this->allWorkspaces();
    this->Result.Targets = {"service/" + Wish.Service};
    this->Result.Caps = {"the share of version " + Wish.Version +
                             " never exceeds its stage",
                         "5% until the comparison has passed there",
                         "the old version keeps its servers until the end"};
    this->Result.WayBack = "take back in steps of at most 25%, or at once when "
                           "the version is bad";
    const RolloutSchedule Schedule(Wish.Deadline, Soak);
    WallTime Begin = this->Inputs.Now;
    std::chrono::milliseconds After{0};
    for (std::size_t I = 0; I < RolloutSchedule::StageCount; ++I) {
      const double Share = RolloutSchedule::Shares[I];
      this->Result.Steps.push_back({After, Share,
                                    "give " + formatPercent(Share) + " of " +
                                        Wish.Service + " to version " +
                                        Wish.Version});
      const WallTime End = Schedule.plannedEnd(I, Begin);
      After =
          std::chrono::duration_cast<std::chrono::milliseconds>(End - Begin);
      Begin = End;
    }
  }

  void checkVersions(const RollOutVersion &Wish) {
    const VersionSplit *Split = findSplit(this->Inputs.Config, Wish.Service);
    if (!Split)
      this->problem("service " + Wish.Service + " has no version split");
    else if (Split->StableVersion == Wish.Version)
      this->problem("version " + Wish.Version + " is the stable one already");
    else if (!Split->CanaryVersion.empty())
      this->problem("version " + Split->CanaryVersion + " of " + Wish.Service +
                    " is being rolled out");
    const auto &Servers = this->Inputs.Config.Servers;
    const auto Runs = [&](const BackendServer &Item) {
      return Item.Service == Wish.Service && Item.Version == Wish.Version &&
             !Item.Draining;
    };
    if (std::none_of(Servers.begin(), Servers.end(), Runs))
      this->problem("no server of " + Wish.Service + " runs version " +
                    Wish.Version);
  }
};

void checkCapacity(const Plan &Current, std::vector<std::string> &Problems) {
  for (const RegionForecast &Item : Current.Regions) {
    const bool Worse = Item.LoadAfter > Item.LoadBefore ||
                       Item.CapacityAfter < Item.CapacityBefore;
    if (Worse && Item.LoadAfter > Item.CapacityAfter)
      Problems.push_back("region " + Item.Region + " would get " +
                         formatNumber(Item.LoadAfter) +
                         " requests/s and can serve " +
                         formatNumber(Item.CapacityAfter));
  }
}

} // namespace

bool isImmediate(const Intent &Wish) {
  return !std::holds_alternative<MoveTraffic>(Wish) &&
         !std::holds_alternative<RollOutVersion>(Wish);
}

Outcome<Plan> makePlan(const Intent &Wish, const PlanInputs &Inputs,
                       std::vector<std::string> &Problems) {
  Plan Result;
  Result.Wish = Wish;
  Result.BaseVersion = Inputs.Config.Version;
  Maker Work{Inputs, Result, Problems};
  std::visit(Work, Wish);
  if (Result.Steps.empty() && !Result.Changes.empty())
    Result.Steps = {{0ms, 1.0, Result.Changes.front()}};
  Result.Share = Result.StartShare;
  Result.Regions = forecast(Result, Inputs);
  checkCapacity(Result, Problems);
  if (!Problems.empty())
    return failure(Errc::Malformed);
  return Result;
}

} // namespace rr
