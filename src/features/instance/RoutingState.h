#ifndef REDWINGRACK_INSTANCE_ROUTINGSTATE_H
#define REDWINGRACK_INSTANCE_ROUTINGSTATE_H

#include "base/Random.h"
#include "rollout/VersionGuard.h"
#include "routing/OwnerTable.h"
#include "routing/Router.h"

#include <memory>
#include <set>
#include <string>

namespace rr {

class MemberTable;
struct FleetConfig;

/// Routing of one instance: who owns which backend server, and the router.
struct RoutingState {
  RoutingState(const std::string &Self, std::uint64_t Seed)
      : Owners(Self), Guard(Self), Random(Seed) {}

  OwnerTable Owners;
  /// Null until a configuration names the region of this instance.
  std::unique_ptr<Router> Routes;
  VersionGuard Guard;
  RandomEngine Random;
  std::uint64_t ConfigVersion = 0;
  /// Servers that this instance owned and has not handed over yet.
  std::set<std::string> HandOvers;
};

/// Takes over the configuration in force and the live members. \p MayOwn is
/// false while this instance must not send to any backend server.
void updateRouting(RoutingState &Routing, const FleetConfig &Config,
                   MemberTable &Members, bool MayOwn, Clock::time_point Now);

} // namespace rr

#endif // REDWINGRACK_INSTANCE_ROUTINGSTATE_H
