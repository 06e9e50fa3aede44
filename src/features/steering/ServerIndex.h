#ifndef REDWINGRACK_STEERING_SERVERINDEX_H
#define REDWINGRACK_STEERING_SERVERINDEX_H

#include "base/Clock.h"
#include "steering/BackendPool.h"
#include "steering/PlacementQuery.h"
#include "steering/RoundTripTimes.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace rr {

/// Home servers of an object, as places in ServerList::servers(): ranked
/// servers of the own region, and the first of a few other large regions.
struct HomeServers {
  using Place = std::uint16_t;
  static constexpr std::size_t MaxOwn = 3;
  static constexpr std::size_t MaxOther = 4;
  std::array<Place, MaxOwn> Own{};
  std::array<Place, MaxOther> Other{};
  std::uint8_t OwnCount = 0;
  std::uint8_t OtherCount = 0;
};

/// The servers that the lasting conditions of a query allow, by region, and the
/// home servers of objects.
class ServerList {
public:
  struct Region {
    std::string Name;
    std::size_t First = 0;
    std::size_t Count = 0;
    /// Large enough to keep objects of other regions' callers.
    bool Large = false;
  };

  ServerList(const PlacementQuery &Query, const BackendPool &Pool,
             const std::string &OwnRegion);

  bool matches(const PlacementQuery &Query) const;
  /// Whether this is a list of service \p Name from before its servers changed
  /// to \p Current, see BackendPool::generation().
  bool isOutdated(const std::string &Name, std::uint64_t Current) const {
    return this->Generation != Current && this->Service == Name;
  }

  /// The home servers of an object. Objects are divided into buckets with the
  /// same homes; those of a bucket are found when it is first used.
  const HomeServers &homes(std::uint64_t Object);

  const std::vector<BackendPtr> &servers() const { return this->Servers; }
  /// Each region's servers are adjacent.
  const std::vector<Region> &regions() const { return this->Regions; }
  /// The own region; null if it has no servers.
  const Region *own() const { return this->Own; }

  /// Round-trip time to a server of servers(). It is read from \p Network at
  /// most every 100 ms for each zone, since reading it takes longer than the
  /// rest of an estimate.
  Clock::duration roundTrip(const BackendPtr &Server,
                            const RoundTripTimes &Network,
                            Clock::time_point Now);

  /// Time before which a scan of all servers is not repeated.
  Clock::time_point NextScanAt{};
  std::uint64_t LastUsed = 0;

private:
  void rank(const Region &Part, std::uint64_t Bucket,
            std::span<HomeServers::Place> Result) const;

  struct Zone {
    std::string Name;
    Clock::duration RoundTrip{0};
    Clock::time_point ReadAt = Clock::time_point::min();
  };

  std::string Service;
  std::set<std::string> HomeRegions;
  std::set<std::string> EvacuatedZones;
  std::optional<std::string> Version;
  std::set<std::string> AvoidedVersions;
  std::uint64_t Generation;
  std::vector<BackendPtr> Servers;
  std::vector<Region> Regions;
  std::vector<Zone> Zones;
  /// Place of each server's zone in Zones.
  std::vector<std::size_t> ZoneOf;
  const Region *Own = nullptr;
  std::vector<HomeServers> Buckets;
};

/// Lists for the queries of the instance; bounded.
class ServerIndex {
public:
  ServerList &listFor(const PlacementQuery &Query, const BackendPool &Pool,
                      const std::string &OwnRegion);

private:
  std::vector<std::unique_ptr<ServerList>> Lists;
  std::uint64_t Uses = 0;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_SERVERINDEX_H
