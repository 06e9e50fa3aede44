#include "steering/ServerIndex.h"

#include "steering/StableHash.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace rr {

namespace {

/// Services times versions times home regions in use at a time; a list of 1,080
/// servers takes some 100 us to build.
constexpr std::size_t MaxLists = 16;
/// Buckets of objects: 16 bytes each, 256 KB a list, and 15 for each server
/// where there are 1,080.
constexpr std::size_t BucketCount = 16384;
/// Minimum number of servers in a region with a next home, relative to the
/// average region.
constexpr double MinRegionSizeRatio = 0.8;

constexpr Clock::duration RoundTripLifetime = std::chrono::milliseconds(100);

const std::set<std::string> NoZones;

const std::set<std::string> &evacuatedZones(const PlacementQuery &Query) {
  return Query.EvacuatedZones ? *Query.EvacuatedZones : NoZones;
}

} // namespace

ServerList::ServerList(const PlacementQuery &Query, const BackendPool &Pool,
                       const std::string &OwnRegion)
    : Service(Query.Service), HomeRegions(Query.HomeRegions),
      EvacuatedZones(evacuatedZones(Query)), Version(Query.Version),
      AvoidedVersions(Query.AvoidedVersions),
      Generation(Pool.generation(Query.Service)), Buckets(BucketCount) {
  for (const BackendPtr &Server : Pool.serversForService(Query.Service)) {
    const BackendRecord &Record = Server->Record;
    const bool OutsideHomes =
        !this->HomeRegions.empty() && !this->HomeRegions.count(Server->Region);
    const bool OtherVersion = this->Version && *this->Version != Record.Version;
    if (Record.Draining || OutsideHomes || OtherVersion ||
        this->EvacuatedZones.count(Record.Zone) ||
        this->AvoidedVersions.count(Record.Version))
      continue;
    this->Servers.push_back(Server);
  }
  if (this->Servers.size() > std::numeric_limits<HomeServers::Place>::max())
    this->Servers.resize(std::numeric_limits<HomeServers::Place>::max());
  std::sort(this->Servers.begin(), this->Servers.end(),
            [](const BackendPtr &Left, const BackendPtr &Right) {
              return std::tie(Left->Region, Left->Record.Id) <
                     std::tie(Right->Region, Right->Record.Id);
            });
  for (std::size_t Place = 0; Place < this->Servers.size(); ++Place) {
    const std::string &Name = this->Servers[Place]->Region;
    if (this->Regions.empty() || this->Regions.back().Name != Name)
      this->Regions.push_back({Name, Place, 0, false});
    ++this->Regions.back().Count;
  }
  for (const BackendPtr &Server : this->Servers) {
    const auto Known = std::find_if(
        this->Zones.begin(), this->Zones.end(),
        [&](const Zone &Item) { return Item.Name == Server->Record.Zone; });
    this->ZoneOf.push_back(std::size_t(Known - this->Zones.begin()));
    if (Known == this->Zones.end())
      this->Zones.push_back({Server->Record.Zone});
  }
  for (Region &Part : this->Regions) {
    Part.Large = double(Part.Count * this->Regions.size()) >=
                 MinRegionSizeRatio * double(this->Servers.size());
    if (Part.Name == OwnRegion)
      this->Own = &Part;
  }
}

bool ServerList::matches(const PlacementQuery &Query) const {
  return this->Service == Query.Service && this->Version == Query.Version &&
         this->HomeRegions == Query.HomeRegions &&
         this->AvoidedVersions == Query.AvoidedVersions &&
         this->EvacuatedZones == evacuatedZones(Query);
}

void ServerList::rank(const Region &Part, std::uint64_t Bucket,
                      std::span<HomeServers::Place> Result) const {
  std::array<std::uint64_t, HomeServers::MaxOwn> Scores{};
  std::size_t Count = 0;
  for (std::size_t Offset = 0; Offset < Part.Count; ++Offset) {
    const std::size_t Place = Part.First + Offset;
    const std::uint64_t Score = mixHashes(Bucket, this->Servers[Place]->Hash);
    if (Count == Result.size() && Score <= Scores[Count - 1])
      continue;
    std::size_t Rank = Count < Result.size() ? Count++ : Count - 1;
    for (; Rank > 0 && Score > Scores[Rank - 1]; --Rank) {
      Scores[Rank] = Scores[Rank - 1];
      Result[Rank] = Result[Rank - 1];
    }
    Scores[Rank] = Score;
    Result[Rank] = static_cast<HomeServers::Place>(Place);
  }
}

const HomeServers &ServerList::homes(std::uint64_t Object) {
  const std::uint64_t Bucket = Object % BucketCount;
  HomeServers &Homes = this->Buckets[Bucket];
  if (Homes.OwnCount > 0 || Homes.OtherCount > 0)
    return Homes;
  // With more regions than homes, each object begins with another region.
  for (std::size_t Turn = 0; Turn < this->Regions.size(); ++Turn) {
    const Region &Part = this->Regions[(Bucket + Turn) % this->Regions.size()];
    if (&Part == this->Own) {
      Homes.OwnCount =
          static_cast<std::uint8_t>(std::min(Part.Count, HomeServers::MaxOwn));
      this->rank(Part, Bucket, std::span(Homes.Own).first(Homes.OwnCount));
    } else if (Part.Large && Homes.OtherCount < HomeServers::MaxOther) {
      this->rank(Part, Bucket,
                 std::span(Homes.Other).subspan(Homes.OtherCount, 1));
      ++Homes.OtherCount;
    }
  }
  return Homes;
}

Clock::duration ServerList::roundTrip(const BackendPtr &Server,
                                      const RoundTripTimes &Network,
                                      Clock::time_point Now) {
  const auto Place = std::size_t(&Server - this->Servers.data());
  Zone &Item = this->Zones[this->ZoneOf[Place]];
  if (Item.ReadAt == Clock::time_point::min() ||
      Now - Item.ReadAt >= RoundTripLifetime) {
    Item.RoundTrip = Network.roundTrip(Item.Name, Server->Region);
    Item.ReadAt = Now;
  }
  return Item.RoundTrip;
}

ServerList &ServerIndex::listFor(const PlacementQuery &Query,
                                 const BackendPool &Pool,
                                 const std::string &OwnRegion) {
  ++this->Uses;
  const std::uint64_t Generation = Pool.generation(Query.Service);
  std::erase_if(this->Lists, [&](const std::unique_ptr<ServerList> &List) {
    return List->isOutdated(Query.Service, Generation);
  });
  std::unique_ptr<ServerList> *Oldest = nullptr;
  for (std::unique_ptr<ServerList> &List : this->Lists) {
    if (List->matches(Query)) {
      List->LastUsed = this->Uses;
      return *List;
    }
    if (!Oldest || List->LastUsed < (*Oldest)->LastUsed)
      Oldest = &List;
  }
  if (this->Lists.size() < MaxLists) {
    this->Lists.emplace_back();
    Oldest = &this->Lists.back();
  }
  *Oldest = std::make_unique<ServerList>(Query, Pool, OwnRegion);
  (*Oldest)->LastUsed = this->Uses;
  return **Oldest;
}

} // namespace rr
