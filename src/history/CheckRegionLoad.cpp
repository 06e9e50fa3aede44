#include "history/Bounds.h"
#include "history/Checks.h"

#include <algorithm>
#include <utility>

namespace rr::history {

namespace {

using RegionService = std::pair<std::string, std::string>;

/// Capacity that deciders may have reckoned with at \p Now.
const RegionCapacity *
capacityAt(const std::vector<const RegionCapacity *> &Changes,
           Clock::time_point Now) {
  const RegionCapacity *Largest = nullptr;
  for (std::size_t I = 0; I < Changes.size(); ++I) {
    const bool Replaced =
        I + 1 < Changes.size() && Changes[I + 1]->At + CapacityLossBound < Now;
    if (Changes[I]->At <= Now && !Replaced &&
        (!Largest || Changes[I]->Slots >= Largest->Slots))
      Largest = Changes[I];
  }
  return Largest;
}

} // namespace

std::vector<Violation> checkRegionLoad(const Timeline &Recorded) {
  std::map<RegionService, std::vector<const RegionCapacity *>> Capacities;
  for (const RegionCapacity *Item : Recorded.all<RegionCapacity>())
    Capacities[{Item->Region, Item->Service}].push_back(Item);

  std::vector<Violation> Found;
  std::map<std::string, std::pair<RegionService, unsigned>> Servers;
  std::map<RegionService, unsigned> Load;
  for (const Event &Item : Recorded.events()) {
    if (const auto *Ended = std::get_if<ServerEnded>(&Item)) {
      const auto Server = Servers.find(Ended->Server);
      if (Server == Servers.end())
        continue;
      auto &[Place, Outstanding] = Server->second;
      Load[Place] += Ended->Outstanding - Outstanding;
      Outstanding = Ended->Outstanding;
    }
    const auto *Began = std::get_if<ServerBegan>(&Item);
    if (!Began)
      continue;
    const RegionService Place{Began->ServerRegion, Began->Service};
    auto &[Known, Outstanding] = Servers[Began->Server];
    Known = Place;
    Load[Place] += Began->Outstanding - Outstanding;
    Outstanding = Began->Outstanding;
    const RegionCapacity *Capacity = capacityAt(Capacities[Place], Began->At);
    if (Capacity && Load[Place] <= Capacity->Slots)
      continue;
    Violation Broken{Promise::RegionLoad,
                     Began->At,
                     Capacity ? "at most " + std::to_string(Capacity->Slots) +
                                    " requests in the region"
                              : "a recorded capacity of the region",
                     std::to_string(Load[Place]) + " requests",
                     {*Began}};
    if (Capacity)
      Broken.Events.insert(Broken.Events.begin(), *Capacity);
    Found.push_back(std::move(Broken));
  }
  return Found;
}

} // namespace rr::history
