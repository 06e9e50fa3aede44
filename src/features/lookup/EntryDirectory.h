#ifndef REDWINGRACK_LOOKUP_ENTRYDIRECTORY_H
#define REDWINGRACK_LOOKUP_ENTRYDIRECTORY_H

#include "lookup/EntryInstance.h"

#include <cstdint>
#include <vector>

namespace rr {

struct FleetConfig;

/// Live instances by zone. Rebuilt when the member list or the configuration
/// changes, so that a look-up touches only the zones of its answer.
class EntryDirectory {
public:
  /// A live instance and the hash of its name.
  struct Entry {
    EntryInstance Instance;
    std::uint64_t Hash = 0;
  };
  /// The live instances of an availability zone.
  struct ZoneEntries {
    std::uint16_t Region = 0;
    std::vector<Entry> Entries;
  };

  /// Keeps the live ones of \p Instances whose zone is in \p Config.
  EntryDirectory(const FleetConfig &Config,
                 const std::vector<EntryInstance> &Instances);

  const std::vector<ZoneEntries> &zones() const { return this->Zones; }
  /// Zone of a site, by its position in FleetConfig::Sites.
  std::uint16_t zoneOfSite(std::uint16_t Site) const {
    return this->SiteZones[Site];
  }
  std::size_t siteCount() const { return this->SiteZones.size(); }

private:
  std::vector<ZoneEntries> Zones;
  std::vector<std::uint16_t> SiteZones;
};

} // namespace rr

#endif // REDWINGRACK_LOOKUP_ENTRYDIRECTORY_H
