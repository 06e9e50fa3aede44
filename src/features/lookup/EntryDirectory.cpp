#include "lookup/EntryDirectory.h"

#include "model/FleetConfig.h"

#include <unordered_map>
#include <xxhash.h>

namespace rr {

EntryDirectory::EntryDirectory(const FleetConfig &Config,
                               const std::vector<EntryInstance> &Instances) {
  std::unordered_map<std::string, std::uint16_t> ZoneNumbers;
  std::unordered_map<std::string, std::uint16_t> RegionNumbers;
  for (const Zone &Item : Config.Zones) {
    ZoneNumbers.emplace(Item.Name,
                        static_cast<std::uint16_t>(this->Zones.size()));
    const auto Region = RegionNumbers.emplace(
        Item.Region, static_cast<std::uint16_t>(RegionNumbers.size()));
    this->Zones.push_back({Region.first->second, {}});
  }
  for (const Site &Item : Config.Sites)
    this->SiteZones.push_back(ZoneNumbers.at(Item.Zone));
  for (const EntryInstance &Instance : Instances) {
    const auto Found = ZoneNumbers.find(Instance.Zone);
    if (Instance.Status != EntryInstance::State::Live ||
        Found == ZoneNumbers.end())
      continue;
    const std::uint64_t Hash =
        XXH64(Instance.Name.data(), Instance.Name.size(), 0);
    this->Zones[Found->second].Entries.push_back({Instance, Hash});
  }
}

} // namespace rr
