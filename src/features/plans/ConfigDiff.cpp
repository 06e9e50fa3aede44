#include "plans/ConfigDiff.h"

#include "model/FleetConfig.h"

#include <map>
#include <tuple>

namespace rr {

namespace {

using Lines = std::vector<std::string>;

auto fields(const Zone &Item) { return std::tie(Item.Name, Item.Region); }
auto fields(const Link &Item) {
  return std::tie(Item.From, Item.To, Item.BitsPerSecond, Item.Latency);
}
auto fields(const Site &Item) { return std::tie(Item.Name, Item.Zone); }
auto fields(const ClientBlock &Item) {
  return std::tie(Item.Prefix, Item.Sites);
}
auto fields(const Workspace &Item) {
  return std::tie(Item.Name, Item.Rate, Item.Burst);
}
auto fields(const Route &Item) {
  return std::tie(Item.Name, Item.Service, Item.Methods, Item.PathPrefix,
                  Item.Open, Item.Timeout);
}
auto fields(const BackendServer &Item) {
  return std::tie(Item.Name, Item.Service, Item.Version, Item.Zone,
                  Item.Address, Item.Slots, Item.Connections, Item.Draining);
}
auto fields(const VersionSplit &Item) {
  return std::tie(Item.Service, Item.StableVersion, Item.CanaryVersion,
                  Item.CanaryShare, Item.Plan);
}
auto fields(const TrafficShift &Item) {
  return std::tie(Item.Workspace, Item.FromRegion, Item.ToRegion, Item.Share);
}

std::string nameOf(const Link &Item) { return Item.From + " to " + Item.To; }
std::string nameOf(const ClientBlock &Item) { return Item.Prefix; }
std::string nameOf(const VersionSplit &Item) { return Item.Service; }
std::string nameOf(const TrafficShift &Item) {
  return Item.Workspace + " to " + Item.ToRegion +
         (Item.FromRegion.empty() ? "" : " from " + Item.FromRegion);
}
template <typename T> std::string nameOf(const T &Item) { return Item.Name; }

template <typename T>
void compare(const char *Kind, const std::vector<T> &Before,
             const std::vector<T> &After, Lines &Found) {
  std::map<std::string, const T *> Old;
  for (const T &Item : Before)
    Old[nameOf(Item)] = &Item;
  for (const T &Item : After) {
    const std::string Name = nameOf(Item);
    const auto Same = Old.find(Name);
    if (Same == Old.end()) {
      Found.push_back(std::string(Kind) + " " + Name + " was added");
      continue;
    }
    if (fields(*Same->second) != fields(Item))
      Found.push_back(std::string(Kind) + " " + Name + " was changed");
    Old.erase(Same);
  }
  for (const auto &[Name, Item] : Old)
    Found.push_back(std::string(Kind) + " " + Name + " was removed");
}

} // namespace

std::vector<std::string> describeChanges(const FleetConfig &Before,
                                         const FleetConfig &After,
                                         std::size_t Most) {
  Lines Found;
  compare("zone", Before.Zones, After.Zones, Found);
  compare("link", Before.Links, After.Links, Found);
  compare("site", Before.Sites, After.Sites, Found);
  compare("client block", Before.Blocks, After.Blocks, Found);
  compare("workspace", Before.Workspaces, After.Workspaces, Found);
  compare("route", Before.Routes, After.Routes, Found);
  compare("server", Before.Servers, After.Servers, Found);
  compare("version split of", Before.Splits, After.Splits, Found);
  compare("shift of", Before.Shifts, After.Shifts, Found);
  if (Found.size() > Most) {
    const std::size_t Rest = Found.size() - Most;
    Found.resize(Most);
    Found.push_back(std::to_string(Rest) + " more changes");
  }
  return Found;
}

} // namespace rr
