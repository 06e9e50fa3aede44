#ifndef REDWINGRACK_STEERING_STEERINGROUTE_H
#define REDWINGRACK_STEERING_STEERINGROUTE_H

#include "base/Clock.h"
#include "steering/RouteKind.h"
#include "steering/SplitPart.h"

#include <set>
#include <string>
#include <vector>

namespace rr {

/// A rule that sends the requests of a host below a path to services.
struct SteeringRoute {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  RouteKind Kind = RouteKind::Unsafe;
  /// Answer time that the route aims for; also the unit of placement costs.
  Clock::duration TargetLatency = std::chrono::seconds(1);
  /// Maximum time that a caller waits for an answer.
  Clock::duration Timeout = std::chrono::seconds(10);
  /// Maximum number of servers tried for one request.
  int MaxAttempts = 1;
  /// 0 is the most urgent.
  int Priority = 0;
  /// No key is needed.
  bool AllowAnonymous = false;
  /// Servers answer faster if they recently handled the same object.
  bool Sticky = false;
  /// Regions that may serve the route; empty for all.
  std::set<std::string> HomeRegions;
  /// At least one.
  std::vector<SplitPart> Split;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_STEERINGROUTE_H
