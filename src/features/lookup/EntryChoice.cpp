#include "lookup/EntryChoice.h"

#include <algorithm>
#include <iterator>
#include <xxhash.h>

namespace rr {

namespace {

using Zones = std::vector<std::uint16_t>;

// Zones with live instances: those of the sites in their order, then the
// others in an order that differs from caller to caller.
Zones orderZones(const EntryDirectory &Directory,
                 std::span<const std::uint16_t> Sites,
                 std::uint64_t CallerHash) {
  Zones Result;
  std::vector<bool> Taken(Directory.zones().size());
  const auto Take = [&](std::size_t Zone) {
    if (!Taken[Zone] && !Directory.zones()[Zone].Entries.empty())
      Result.push_back(static_cast<std::uint16_t>(Zone));
    Taken[Zone] = true;
  };
  for (const std::uint16_t Site : Sites)
    if (Site < Directory.siteCount())
      Take(Directory.zoneOfSite(Site));
  const std::size_t Count = Taken.size();
  for (std::size_t I = 0; I < Count; ++I)
    Take((CallerHash + I) % Count);
  // A zone without a site is as near as the nearest zone of its region.
  Zones Regions;
  for (const std::uint16_t Zone : Result)
    if (std::ranges::find(Regions, Directory.zones()[Zone].Region) ==
        Regions.end())
      Regions.push_back(Directory.zones()[Zone].Region);
  Zones Sorted;
  for (const std::uint16_t Region : Regions)
    std::ranges::copy_if(Result, std::back_inserter(Sorted),
                         [&](std::uint16_t Zone) {
                           return Directory.zones()[Zone].Region == Region;
                         });
  return Sorted;
}

class Selection {
public:
  Selection(const EntryDirectory &Directory, std::uint64_t CallerHash)
      : Directory(Directory), CallerHash(CallerHash) {}

  bool isFull() const {
    return this->Answer.Instances.size() == MaxEntryInstances;
  }

  // Adds the caller's best instance of the zone that is not in the answer.
  bool addFrom(std::uint16_t Zone) {
    if (this->isFull())
      return false;
    const EntryInstance *Best = nullptr;
    std::uint64_t BestWeight = 0;
    for (const auto &Entry : this->Directory.zones()[Zone].Entries) {
      const std::uint64_t Weight =
          XXH64(&Entry.Hash, sizeof(Entry.Hash), this->CallerHash);
      if ((!Best || Weight > BestWeight) && !this->has(&Entry.Instance)) {
        Best = &Entry.Instance;
        BestWeight = Weight;
      }
    }
    if (Best)
      this->Answer.Instances.push_back(Best);
    return Best != nullptr;
  }

  EntryAnswer take() { return std::move(this->Answer); }

private:
  bool has(const EntryInstance *Instance) const {
    return std::ranges::find(this->Answer.Instances, Instance) !=
           this->Answer.Instances.end();
  }

  const EntryDirectory &Directory;
  std::uint64_t CallerHash;
  EntryAnswer Answer;
};

} // namespace

EntryAnswer chooseEntries(const EntryDirectory &Directory,
                          std::span<const std::uint16_t> Sites,
                          std::uint64_t CallerHash) {
  const Zones Order = orderZones(Directory, Sites, CallerHash);
  Selection Chosen(Directory, CallerHash);
  if (Order.empty())
    return Chosen.take();
  const auto RegionOf = [&](std::size_t Position) {
    return Directory.zones()[Order[Position]].Region;
  };
  Chosen.addFrom(Order[0]);
  if (Order.size() > 1 && RegionOf(1) == RegionOf(0))
    Chosen.addFrom(Order[1]);
  for (std::size_t I = 1; I < Order.size(); ++I)
    if (RegionOf(I) != RegionOf(I - 1))
      Chosen.addFrom(Order[I]);
  for (bool Added = true; Added && !Chosen.isFull();) {
    Added = false;
    for (const std::uint16_t Zone : Order)
      Added = Chosen.addFrom(Zone) || Added;
  }
  return Chosen.take();
}

} // namespace rr
