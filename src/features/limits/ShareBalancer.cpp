#include "limits/ShareBalancer.h"

#include "limits/Apportion.h"

#include <algorithm>
#include <functional>
#include <map>

namespace rr {

namespace {

/// Hysteresis: smallest surplus that is moved, as a part of the wanted share
/// and of the workspace. Demand estimates fluctuate by more than a tenth at
/// ten requests a second, and moving that noise helps nobody.
constexpr double OwnThreshold = 0.10;
constexpr double TotalThreshold = 0.01;
/// Smallest shortage that is filled, as a part of the giver's threshold, so
/// that many small shortages can absorb one large surplus.
constexpr double ShortageThreshold = 0.25;

/// A member's place in the division of one workspace.
struct Position {
  const DemandReport *Report = nullptr;
  ShareAmount Held;
  MicroRequests Demand = 0;
  ShareAmount Wanted;
};

using Pair = std::pair<const DemandReport *, const DemandReport *>;
using Member = MicroRequests ShareAmount::*;
using GroupKey = std::function<std::string(const DemandReport &)>;

/// What is above (positive) or below (negative) the wanted share of one
/// position and still to be matched.
struct Difference {
  const Position *Place = nullptr;
  MicroRequests Left = 0;
};

void matchGroup(std::vector<Difference *> &Group, Member Part,
                std::map<Pair, ShareAmount> &Moves) {
  std::size_t Giver = 0;
  std::size_t Taker = 0;
  while (true) {
    while (Giver < Group.size() && Group[Giver]->Left <= 0)
      ++Giver;
    while (Taker < Group.size() && Group[Taker]->Left >= 0)
      ++Taker;
    if (Giver == Group.size() || Taker == Group.size())
      return;
    const MicroRequests Amount =
        std::min(Group[Giver]->Left, -Group[Taker]->Left);
    Group[Giver]->Left -= Amount;
    Group[Taker]->Left += Amount;
    Moves[{Group[Giver]->Place->Report, Group[Taker]->Place->Report}].*Part +=
        Amount;
  }
}

std::vector<Difference> differences(const std::vector<Position> &Places,
                                    Member Part, MicroRequests Least) {
  MicroRequests Total = 0;
  for (const Position &Place : Places)
    Total += Place.Held.*Part;
  std::vector<Difference> Result;
  for (const Position &Place : Places) {
    const MicroRequests Left = Place.Held.*Part - Place.Wanted.*Part;
    const double Threshold =
        std::max({double(Least), OwnThreshold * double(Place.Wanted.*Part),
                  TotalThreshold * double(Total)});
    const bool Moves = Left > 0
                           ? double(Left) >= Threshold
                           : -double(Left) >= Threshold * ShortageThreshold;
    if (Left != 0 && Moves)
      Result.push_back({&Place, Left});
  }
  return Result;
}

void matchPart(const std::vector<Position> &Places, Member Part,
               MicroRequests Least, std::map<Pair, ShareAmount> &Moves) {
  const GroupKey Keys[] = {
      [](const DemandReport &Report) { return Report.Zone; },
      [](const DemandReport &Report) { return Report.Region; },
      [](const DemandReport &) { return std::string(); }};
  std::vector<Difference> Open = differences(Places, Part, Least);
  for (const GroupKey &Key : Keys) {
    std::map<std::string, std::vector<Difference *>> Groups;
    for (Difference &Item : Open)
      Groups[Key(*Item.Place->Report)].push_back(&Item);
    for (auto &[Name, Group] : Groups)
      matchGroup(Group, Part, Moves);
  }
}

void setWanted(std::vector<Position> &Places) {
  ShareAmount Total;
  std::vector<MicroRequests> Demands;
  for (const Position &Place : Places) {
    Total.Rate += Place.Held.Rate;
    Total.Burst += Place.Held.Burst;
    Demands.push_back(Place.Demand);
  }
  const auto Wanted = divideAllowance(Total, demandWeights(Demands));
  for (std::size_t I = 0; I < Places.size(); ++I)
    Places[I].Wanted = Wanted[I];
}

void planWorkspace(const std::string &Workspace, std::vector<Position> &Places,
                   const std::string &OwnZone,
                   std::vector<ShareRelease> &Result) {
  setWanted(Places);
  std::map<Pair, ShareAmount> Moves;
  matchPart(Places, &ShareAmount::Rate, 1, Moves);
  matchPart(Places, &ShareAmount::Burst, OneRequest / 2, Moves);
  std::map<const DemandReport *, ShareAmount> Keep;
  for (const Position &Place : Places)
    Keep[Place.Report] = Place.Wanted;
  // Ordered by the members' names and not by address, so that the order of the
  // requests is the same in every run.
  for (const Position &Giver : Places) {
    if (Giver.Report->Zone != OwnZone)
      continue;
    for (const Position &Taker : Places)
      if (const auto Found = Moves.find({Giver.Report, Taker.Report});
          Found != Moves.end())
        Result.push_back({Giver.Report->Holder, Taker.Report->Holder,
                          Giver.Report->Epoch, Workspace, Found->second,
                          Keep[Giver.Report]});
  }
}

} // namespace

std::vector<ShareRelease> planReleases(const std::vector<DemandReport> &Reports,
                                       const std::string &OwnZone) {
  std::uint64_t Epoch = 0;
  for (const DemandReport &Report : Reports)
    Epoch = std::max(Epoch, Report.Epoch);
  std::map<ShareHolder, const DemandReport *> Current;
  for (const DemandReport &Report : Reports)
    if (Report.Epoch == Epoch)
      Current[Report.Holder] = &Report;
  std::map<std::string, std::vector<Position>> Workspaces;
  for (const auto &[Holder, Report] : Current)
    for (const WorkspaceDemand &Item : Report->Workspaces)
      Workspaces[Item.Workspace].push_back(
          {Report, Item.Held, Item.Demand, {}});
  std::vector<ShareRelease> Result;
  for (auto &[Name, Places] : Workspaces)
    planWorkspace(Name, Places, OwnZone, Result);
  return Result;
}

} // namespace rr
