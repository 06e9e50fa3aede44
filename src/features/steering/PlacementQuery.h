#ifndef REDWINGRACK_STEERING_PLACEMENTQUERY_H
#define REDWINGRACK_STEERING_PLACEMENTQUERY_H

#include "base/Clock.h"
#include "steering/SteeringRoute.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace rr {

/// A request that needs a backend server.
struct PlacementQuery {
  const SteeringRoute *Route = nullptr;
  std::string Service;
  /// Hash of the object that the request is about.
  std::optional<std::uint64_t> Object;
  /// The more urgent of the workspace's and the route's.
  int Priority = 0;
  /// The caller was refused before and has come back.
  bool ReturningCaller = false;
  /// Until the caller stops waiting.
  Clock::duration TimeLeft{0};
  /// Regions that may serve it; empty for all.
  std::set<std::string> HomeRegions;
  /// Availability zones that must get nothing.
  const std::set<std::string> *EvacuatedZones = nullptr;
  /// Regions that have had their share of moves for now.
  std::set<std::string> DeprioritizedRegions;
  /// Regions that must get nothing, since more moves would exceed the cap.
  std::set<std::string> BlockedRegions;
  /// Servers that this request was sent to.
  std::set<std::string> TriedServers;
  /// Only servers of this version, when set.
  std::optional<std::string> Version;
  /// No servers of these versions.
  std::set<std::string> AvoidedVersions;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_PLACEMENTQUERY_H
