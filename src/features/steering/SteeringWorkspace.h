#ifndef REDWINGRACK_STEERING_STEERINGWORKSPACE_H
#define REDWINGRACK_STEERING_STEERINGWORKSPACE_H

#include <set>
#include <string>

namespace rr {

/// A tenant of the fleet and its limits.
struct SteeringWorkspace {
  std::string Name;
  /// 0 is the most urgent.
  int Priority = 0;
  /// Requests per second across the fleet; 0 for no limit.
  double Rate = 0;
  /// Requests on top of the rate.
  double Burst = 0;
  /// Regions that may serve the workspace; empty for all.
  std::set<std::string> HomeRegions;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_STEERINGWORKSPACE_H
