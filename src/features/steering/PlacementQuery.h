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
  /// Hash of the workspace that the request belongs to.
  std::optional<std::uint64_t> Workspace = std::nullopt;
  /// Priority of the workspace or the route, whichever is more urgent.
  int Priority = 0;
  /// The caller is retrying after a refusal.
  bool ReturningCaller = false;
  /// Largest share of a server's slots that may be in use, this request
  /// included; empty for no limit. Used by placement by cost.
  std::optional<double> LoadLimit = std::nullopt;
  /// Time until the caller's deadline.
  Clock::duration TimeLeft{0};
  /// Regions that may serve it; empty for all.
  std::set<std::string> HomeRegions;
  /// Availability zones that must receive no requests.
  const std::set<std::string> *EvacuatedZones = nullptr;
  /// Regions that are used only when no other has capacity, since their share
  /// has grown fast.
  std::set<std::string> DeprioritizedRegions;
  /// Regions that must receive no requests, since their share would exceed the
  /// shift limit.
  std::set<std::string> BlockedRegions;
  /// Servers that have been tried for this request.
  std::set<std::string> TriedServers;
  /// Only servers of this version, when set.
  std::optional<std::string> Version;
  /// No servers of these versions.
  std::set<std::string> AvoidedVersions;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_PLACEMENTQUERY_H
