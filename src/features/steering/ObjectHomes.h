#ifndef REDWINGRACK_STEERING_OBJECTHOMES_H
#define REDWINGRACK_STEERING_OBJECTHOMES_H

#include "steering/BackendPool.h"
#include "steering/CacheAffinity.h"
#include "steering/PlacementQuery.h"

#include <string>
#include <vector>

namespace rr {

/// The servers that should have an object cached, by rendezvous hashing: one
/// in the caller's region, and a few for the requests that do not fit there.
/// Regions with few servers for the service are no next homes, since their
/// caches hold little more than what their own callers ask for.
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
