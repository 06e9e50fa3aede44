#include "model/FleetConfigChecks.h"

#include "model/FleetConfig.h"

#include <set>

namespace rr {

namespace {

using Names = std::set<std::string>;
using Problems = std::vector<std::string>;

template <typename T>
Names uniqueNames(const std::vector<T> &Items, const char *Kind,
                  Problems &Found) {
  Names Result;
  for (const T &Item : Items)
    if (!Result.insert(Item.Name).second)
      Found.push_back(std::string(Kind) + ": the name " + Item.Name +
                      " stands twice");
  return Result;
}

void requireKnown(const Names &Known, const std::string &Name,
                  const std::string &Where, Problems &Found) {
  if (!Known.count(Name))
    Found.push_back(Where + ": " + Name + " is not defined");
}

void requireShare(double Share, const std::string &Where, Problems &Found) {
  if (Share < 0 || Share > 1)
    Found.push_back(Where + ": expected a share of 0 to 1");
}

void checkSplits(const FleetConfig &Config, Problems &Found) {
  for (const VersionSplit &Split : Config.Splits)
    requireShare(Split.CanaryShare, "splits." + Split.Service, Found);
}

void checkShifts(const FleetConfig &Config, const Names &Regions,
                 const Names &Workspaces, Problems &Found) {
  for (const TrafficShift &Shift : Config.Shifts) {
    const std::string Where = "shifts." + Shift.Workspace;
    requireShare(Shift.Share, Where, Found);
    requireKnown(Workspaces, Shift.Workspace, Where, Found);
    requireKnown(Regions, Shift.ToRegion, Where, Found);
    if (!Shift.FromRegion.empty())
      requireKnown(Regions, Shift.FromRegion, Where, Found);
  }
}

} // namespace

void checkFleetConfig(const FleetConfig &Config,
                      std::vector<std::string> &Problems) {
  const Names Zones = uniqueNames(Config.Zones, "zones", Problems);
  const Names Sites = uniqueNames(Config.Sites, "sites", Problems);
  const Names Workspaces =
      uniqueNames(Config.Workspaces, "workspaces", Problems);
  uniqueNames(Config.Routes, "routes", Problems);
  uniqueNames(Config.Servers, "servers", Problems);
  Names Regions;
  for (const Zone &Item : Config.Zones)
    Regions.insert(Item.Region);
  for (const Link &Item : Config.Links) {
    requireKnown(Regions, Item.From, "links", Problems);
    requireKnown(Regions, Item.To, "links", Problems);
  }
  for (const Site &Item : Config.Sites)
    requireKnown(Zones, Item.Zone, "sites." + Item.Name, Problems);
  for (const ClientBlock &Item : Config.Blocks)
    for (const std::string &SiteName : Item.Sites)
      requireKnown(Sites, SiteName, "blocks." + Item.Prefix, Problems);
  for (const BackendServer &Item : Config.Servers)
    requireKnown(Zones, Item.Zone, "servers." + Item.Name, Problems);
  checkSplits(Config, Problems);
  checkShifts(Config, Regions, Workspaces, Problems);
}

} // namespace rr
