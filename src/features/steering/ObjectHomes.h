#ifndef REDWINGRACK_STEERING_OBJECTHOMES_H
#define REDWINGRACK_STEERING_OBJECTHOMES_H

#include "steering/BackendPool.h"
#include "steering/CacheAffinity.h"
#include "steering/PlacementQuery.h"

#include <string>
#include <vector>

namespace rr {

/// Home servers of an object, chosen by rendezvous hashing: one in the caller's
/// region, and one per large region for requests that exceed its capacity.
/// Regions with few servers get no next home, since their caches hold little
/// beyond the objects of their own callers.
class ObjectHomes {
public:
  ObjectHomes(const PlacementQuery &Query, const std::string &Region,
              const std::vector<BackendPtr> &Servers);

  CacheAffinity affinityOf(const BackendState &Server, bool Used) const;

private:
  const BackendState *Home = nullptr;
  std::vector<const BackendState *> NextHomes;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_OBJECTHOMES_H
