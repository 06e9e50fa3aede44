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
  /// Answers within this time are worth most to the caller.
  Clock::duration TargetLatency = std::chrono::seconds(1);
  /// Longest time that a caller is kept waiting.
  Clock::duration Timeout = std::chrono::seconds(10);
  /// Servers that one request may be sent to.
  int MaxAttempts = 1;
  /// 0 is the most urgent.
  int Priority = 0;
  /// No key is needed.
  bool AllowAnonymous = false;
  /// Servers answer faster when they handled the object lately.
  bool Sticky = false;
  /// Regions that may serve the route; empty for all.
  std::set<std::string> HomeRegions;
  /// At least one.
  std::vector<SplitPart> Split;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_STEERINGROUTE_H
