#include "model/FleetConfigChecks.h"

#include "model/FleetConfig.h"

#include <set>

namespace rr {

namespace {

using Names = std::set<std::string>;
using Problems = std::vector<std::string>;

template <typename T>
Names uniqueNames(const std::vector<T> &Items, const char *Kind,
                  Problems &Errors) {
  Names Result;
  for (const T &Item : Items)
    if (!Result.insert(Item.Name).second)
      Errors.push_back(std::string(Kind) + ": the name " + Item.Name +
                       " is used more than once");
  return Result;
}

void requireDefined(const Names &Defined, const std::string &Name,
                    const std::string &Where, Problems &Errors) {
  if (!Defined.count(Name))
    Errors.push_back(Where + ": " + Name + " is not defined");
}

void requireShare(double Share, const std::string &Where, Problems &Errors) {
  if (Share < 0 || Share > 1)
    Errors.push_back(Where + ": expected a share of 0 to 1");
}

void checkSplits(const FleetConfig &Config, Problems &Errors) {
  for (const VersionSplit &Split : Config.Splits)
    requireShare(Split.CanaryShare, "splits." + Split.Service, Errors);
}

void checkShifts(const FleetConfig &Config, const Names &Regions,
                 const Names &Workspaces, Problems &Errors) {
  for (const TrafficShift &Shift : Config.Shifts) {
    const std::string Where = "shifts." + Shift.Workspace;
    requireShare(Shift.Share, Where, Errors);
    requireDefined(Workspaces, Shift.Workspace, Where, Errors);
    requireDefined(Regions, Shift.ToRegion, Where, Errors);
    if (!Shift.FromRegion.empty())
      requireDefined(Regions, Shift.FromRegion, Where, Errors);
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
    requireDefined(Regions, Item.From, "links", Problems);
    requireDefined(Regions, Item.To, "links", Problems);
  }
  for (const Site &Item : Config.Sites)
    requireDefined(Zones, Item.Zone, "sites." + Item.Name, Problems);
  for (const ClientBlock &Item : Config.Blocks)
    for (const std::string &SiteName : Item.Sites)
      requireDefined(Sites, SiteName, "blocks." + Item.Prefix, Problems);
  for (const BackendServer &Item : Config.Servers)
    requireDefined(Zones, Item.Zone, "servers." + Item.Name, Problems);
  checkSplits(Config, Problems);
  checkShifts(Config, Regions, Workspaces, Problems);
}

} // namespace rr
