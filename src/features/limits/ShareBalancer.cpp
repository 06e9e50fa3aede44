#include "limits/ShareBalancer.h"

#include "limits/Apportion.h"

#include <algorithm>
#include <functional>
#include <map>

namespace rr {

namespace {

/// Hysteresis: minimum surplus that is moved, as a fraction of the target share
/// and of the workspace's total. At ten requests per second, demand estimates
/// fluctuate by more than 10%, and moving shares for that noise has no benefit.
constexpr double ShareThreshold = 0.10;
constexpr double WorkspaceThreshold = 0.01;
/// Minimum shortage that is filled, as a fraction of the giver's threshold, so
/// that many small shortages can absorb one large surplus.
constexpr double ShortageThreshold = 0.25;

/// A member's held and target share of one workspace.
struct MemberShare {
  const DemandReport *Report = nullptr;
  ShareAmount Held;
  MicroRequests Demand = 0;
  ShareAmount Target;
};

using GiverAndReceiver = std::pair<const DemandReport *, const DemandReport *>;
using AmountField = MicroRequests ShareAmount::*;
using GroupKey = std::function<std::string(const DemandReport &)>;

/// Surplus (positive) or shortage (negative) of a member against its target
/// that is not matched yet.
struct Imbalance {
  const MemberShare *Member = nullptr;
  MicroRequests Remaining = 0;
};

void matchGroup(std::vector<Imbalance *> &Group, AmountField Field,
                std::map<GiverAndReceiver, ShareAmount> &Moves) {
  std::size_t Giver = 0;
  std::size_t Receiver = 0;
  while (true) {
    while (Giver < Group.size() && Group[Giver]->Remaining <= 0)
      ++Giver;
    while (Receiver < Group.size() && Group[Receiver]->Remaining >= 0)
      ++Receiver;
    if (Giver == Group.size() || Receiver == Group.size())
      return;
    const MicroRequests Amount =
        std::min(Group[Giver]->Remaining, -Group[Receiver]->Remaining);
    Group[Giver]->Remaining -= Amount;
    Group[Receiver]->Remaining += Amount;
    Moves[{Group[Giver]->Member->Report, Group[Receiver]->Member->Report}].*
        Field += Amount;
  }
}

std::vector<Imbalance> imbalances(const std::vector<MemberShare> &Members,
                                  AmountField Field, MicroRequests MinAmount) {
  MicroRequests Total = 0;
  for (const MemberShare &Member : Members)
    Total += Member.Held.*Field;
  std::vector<Imbalance> Result;
  for (const MemberShare &Member : Members) {
    const MicroRequests Remaining = Member.Held.*Field - Member.Target.*Field;
    const double Threshold = std::max(
        {double(MinAmount), ShareThreshold * double(Member.Target.*Field),
         WorkspaceThreshold * double(Total)});
    const bool IsSignificant =
        Remaining > 0 ? double(Remaining) >= Threshold
                      : -double(Remaining) >= Threshold * ShortageThreshold;
    if (Remaining != 0 && IsSignificant)
      Result.push_back({&Member, Remaining});
  }
  return Result;
}

void matchField(const std::vector<MemberShare> &Members, AmountField Field,
                MicroRequests MinAmount,
                std::map<GiverAndReceiver, ShareAmount> &Moves) {
  const GroupKey Keys[] = {
      [](const DemandReport &Report) { return Report.Zone; },
      [](const DemandReport &Report) { return Report.Region; },
      [](const DemandReport &) { return std::string(); }};
  std::vector<Imbalance> Imbalances = imbalances(Members, Field, MinAmount);
  for (const GroupKey &Key : Keys) {
    std::map<std::string, std::vector<Imbalance *>> Groups;
    for (Imbalance &Item : Imbalances)
      Groups[Key(*Item.Member->Report)].push_back(&Item);
    for (auto &[Name, Group] : Groups)
      matchGroup(Group, Field, Moves);
  }
}

void setTargets(std::vector<MemberShare> &Members, MicroRequests Burst) {
  ShareAmount Total;
  std::vector<MicroRequests> Demands;
  std::vector<ShareAmount> Held;
  for (const MemberShare &Member : Members) {
    Total.Rate += Member.Held.Rate;
    Total.Burst += Member.Held.Burst;
    Demands.push_back(Member.Demand);
    Held.push_back(Member.Held);
  }
  const auto Targets =
      divideAllowance(Total, demandWeights(Demands),
                      primaryHolderCount(Burst, Members.size()), Held);
  for (std::size_t I = 0; I < Members.size(); ++I)
    Members[I].Target = Targets[I];
}

void planWorkspace(const std::string &Workspace, MicroRequests Burst,
                   std::vector<MemberShare> &Members,
                   const std::string &OwnZone,
                   std::vector<ShareRelease> &Result) {
  setTargets(Members, Burst);
  std::map<GiverAndReceiver, ShareAmount> Moves;
  matchField(Members, &ShareAmount::Rate, 1, Moves);
  matchField(Members, &ShareAmount::Burst, OneRequest / 2, Moves);
  std::map<const DemandReport *, ShareAmount> Keep;
  for (const MemberShare &Member : Members)
    Keep[Member.Report] = Member.Target;
  // Ordered by holder and not by address, so that the order of the requests is
  // the same in every run.
  for (const MemberShare &Giver : Members) {
    if (Giver.Report->Zone != OwnZone)
      continue;
    for (const MemberShare &Receiver : Members)
      if (const auto Found = Moves.find({Giver.Report, Receiver.Report});
          Found != Moves.end())
        Result.push_back({Giver.Report->Holder, Receiver.Report->Holder,
                          Giver.Report->Epoch, Workspace, Found->second,
                          Keep[Giver.Report]});
  }
}

} // namespace

std::vector<ShareRelease> planReleases(const std::vector<DemandReport> &Reports,
                                       const std::string &OwnZone,
                                       const ShareAllocation &Allocation) {
  std::map<ShareHolder, const DemandReport *> Current;
  for (const DemandReport &Report : Reports)
    if (Report.Epoch == Allocation.Epoch)
      Current[Report.Holder] = &Report;
  std::map<std::string, std::vector<MemberShare>> Workspaces;
  for (const auto &[Holder, Report] : Current)
    for (const WorkspaceDemand &Item : Report->Workspaces)
      Workspaces[Item.Workspace].push_back(
          {Report, Item.Held, Item.Demand, {}});
  std::vector<ShareRelease> Result;
  for (auto &[Name, Members] : Workspaces)
    if (const auto Found = Allocation.Workspaces.find(Name);
        Found != Allocation.Workspaces.end())
      planWorkspace(Name, Found->second.Total.Burst, Members, OwnZone, Result);
  return Result;
}

} // namespace rr
