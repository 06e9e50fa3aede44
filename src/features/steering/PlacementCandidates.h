#ifndef REDWINGRACK_STEERING_PLACEMENTCANDIDATES_H
#define REDWINGRACK_STEERING_PLACEMENTCANDIDATES_H

#include "base/Random.h"
#include "steering/CompletionEstimate.h"
#include "steering/PlacementQuery.h"
#include "steering/ServerIndex.h"

#include <array>
#include <cstddef>

namespace rr {

/// The few servers that are compared for one request.
class PlacementCandidates {
public:
  static constexpr std::size_t MaxCandidates = 16;
  struct Item {
    const BackendPtr *Server = nullptr;
    CacheAffinity Affinity = CacheAffinity::Other;
  };

  PlacementCandidates(const PlacementQuery &Query, ServerList &Servers,
                      Clock::time_point Now)
      : Query(Query), Servers(Servers), Now(Now) {}

  /// Adds the eligible home servers of the object, if the query uses caches, up
  /// to \p OwnHomes of them in the own region.
  void addHomes(std::size_t OwnHomes);
  /// Adds up to \p Wanted eligible servers of the own region, or of any region
  /// that is not blocked, drawn at random.
  void addRandom(std::size_t Wanted, bool OwnRegion, RandomEngine &Random);
  /// Adds one eligible server, found by reading all servers from a random one
  /// on. Limited to one scan in 100 ms in long lists.
  void addByScan(RandomEngine &Random);

  std::size_t size() const { return this->Count; }
  const Item &operator[](std::size_t Index) const { return this->Items[Index]; }

private:
  bool add(const BackendPtr &Server, CacheAffinity Affinity);
  /// Whether a server drawn at random, by its place, is a home of the object.
  /// It must not count as another server, since a candidate is added only once.
  bool isHome(std::size_t Place) const;

  const PlacementQuery &Query;
  ServerList &Servers;
  Clock::time_point Now;
  std::array<Item, MaxCandidates> Items;
  std::size_t Count = 0;
};

/// The affinity of a server, which need not be a candidate.
CacheAffinity affinityOf(const PlacementQuery &Query, ServerList &Servers,
                         const BackendState &Server, Clock::time_point Now);

} // namespace rr

#endif // REDWINGRACK_STEERING_PLACEMENTCANDIDATES_H
