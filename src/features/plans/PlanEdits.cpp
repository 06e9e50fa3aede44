#include "plans/PlanEdits.h"

#include "model/FleetConfig.h"
#include "model/FleetConfigJson.h"
#include "plans/Plan.h"

#include <algorithm>

namespace rr {

namespace {

// Shares below this are rounding.
constexpr double NoShare = 1e-9;

template <typename Shifts>
auto findShift(Shifts &Items, const MoveTraffic &Wish) {
  return std::find_if(Items.begin(), Items.end(), [&](const auto &Item) {
    return Item.Workspace == Wish.Workspace &&
           Item.FromRegion == Wish.FromRegion && Item.ToRegion == Wish.ToRegion;
  });
}

void setShift(FleetConfig &Config, const MoveTraffic &Wish, double Share) {
  const auto Found = findShift(Config.Shifts, Wish);
  if (Share < NoShare) {
    if (Found != Config.Shifts.end())
      Config.Shifts.erase(Found);
  } else if (Found != Config.Shifts.end()) {
    Found->Share = Share;
  } else {
    Config.Shifts.push_back(
        {Wish.Workspace, Wish.FromRegion, Wish.ToRegion, Share});
  }
}

VersionSplit *splitOf(FleetConfig &Config, const std::string &Service) {
  for (VersionSplit &Split : Config.Splits)
    if (Split.Service == Service)
      return &Split;
  return nullptr;
}

void setCanary(FleetConfig &Config, const RollOutVersion &Wish,
               const std::string &Plan, double Share) {
  VersionSplit *Split = splitOf(Config, Wish.Service);
  if (!Split)
    return;
  const bool Takes = Share >= NoShare;
  Split->CanaryVersion = Takes ? Wish.Version : "";
  Split->CanaryShare = Takes ? Share : 0;
  Split->Plan = Takes ? Plan : "";
}

void setDraining(FleetConfig &Config, const std::string &Name, bool Draining) {
  if (BackendServer *Server = findServer(Config, Name))
    Server->Draining = Draining;
}

void setRate(FleetConfig &Config, const SetRate &Wish) {
  for (Workspace &Item : Config.Workspaces)
    if (Item.Name == Wish.Workspace)
      Item = {Wish.Workspace, Wish.Rate, Wish.Burst};
}

std::string withoutPrefix(const std::string &Target, std::string_view Prefix) {
  return Target.compare(0, Prefix.size(), Prefix) == 0
             ? Target.substr(Prefix.size())
             : std::string();
}

// The part of a configuration that belongs to one target, as text.
std::string partOf(const FleetConfig &Config, const std::string &Target) {
  FleetConfig Part;
  if (const auto Name = withoutPrefix(Target, "traffic/"); !Name.empty())
    for (const TrafficShift &Item : Config.Shifts)
      if (Item.Workspace == Name)
        Part.Shifts.push_back(Item);
  if (const auto Name = withoutPrefix(Target, "service/"); !Name.empty())
    if (const VersionSplit *Split = findSplit(Config, Name))
      Part.Splits.push_back(*Split);
  if (const auto Name = withoutPrefix(Target, "server/"); !Name.empty())
    if (const BackendServer *Server = findServer(Config, Name))
      Part.Servers.push_back(*Server);
  if (const auto Name = withoutPrefix(Target, "workspace/"); !Name.empty())
    if (const Workspace *Item = findWorkspace(Config, Name))
      Part.Workspaces.push_back(*Item);
  return formatFleetConfig(Part);
}

} // namespace

void applyIntent(FleetConfig &Config, const Plan &Current) {
  if (const auto *Wish = std::get_if<TakeOnWorkspace>(&Current.Wish))
    Config.Workspaces.push_back({Wish->Workspace, Wish->Rate, Wish->Burst});
  else if (const auto *Wish = std::get_if<SetRate>(&Current.Wish))
    setRate(Config, *Wish);
  else if (const auto *Wish = std::get_if<DrainServer>(&Current.Wish))
    setDraining(Config, Wish->Server, !Wish->Undo);
  else if (const auto *Wish = std::get_if<LoadDocument>(&Current.Wish)) {
    std::vector<std::string> Problems;
    if (auto Document = parseFleetConfig(Wish->Document, Problems))
      Config = std::move(*Document);
  }
}

void applyShare(FleetConfig &Config, const Plan &Current, double Share) {
  if (const auto *Wish = std::get_if<MoveTraffic>(&Current.Wish))
    setShift(Config, *Wish, Share);
  else if (const auto *Wish = std::get_if<RollOutVersion>(&Current.Wish))
    setCanary(Config, *Wish, Current.Id, Share);
  else if (const auto *Wish = std::get_if<DrainServer>(&Current.Wish))
    setDraining(Config, Wish->Server, Share >= NoShare);
}

double shareIn(const FleetConfig &Config, const Plan &Current) {
  if (const auto *Wish = std::get_if<MoveTraffic>(&Current.Wish)) {
    const auto Found = findShift(Config.Shifts, *Wish);
    return Found == Config.Shifts.end() ? 0 : Found->Share;
  }
  if (const auto *Wish = std::get_if<RollOutVersion>(&Current.Wish)) {
    const VersionSplit *Split = findSplit(Config, Wish->Service);
    return Split && Split->Plan == Current.Id ? Split->CanaryShare : 0;
  }
  if (const auto *Wish = std::get_if<DrainServer>(&Current.Wish)) {
    const BackendServer *Server = findServer(Config, Wish->Server);
    return Server && Server->Draining ? 1 : 0;
  }
  return 0;
}

void completeRollout(FleetConfig &Config, const Plan &Current) {
  const auto *Wish = std::get_if<RollOutVersion>(&Current.Wish);
  VersionSplit *Split = Wish ? splitOf(Config, Wish->Service) : nullptr;
  if (Split)
    *Split = {Wish->Service, Wish->Version, "", 0, ""};
}

bool agreeOn(const FleetConfig &Left, const FleetConfig &Right,
             const std::string &Target) {
  return partOf(Left, Target) == partOf(Right, Target);
}

} // namespace rr
