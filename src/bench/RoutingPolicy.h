#ifndef REDWINGRACK_BENCH_ROUTINGPOLICY_H
#define REDWINGRACK_BENCH_ROUTINGPOLICY_H

#include "bench/SimRequest.h"

#include <functional>

namespace rr {

/// A routing policy under simulation.
struct RoutingPolicy {
  /// A request arrives at its entry instance.
  std::function<void(SimRequestPtr)> Arrive;
  /// Once a second: servers and instances report.
  std::function<void()> Report;
  /// Every 5 ms: timers of the policy.
  std::function<void()> Tick;
};

} // namespace rr

#endif // REDWINGRACK_BENCH_ROUTINGPOLICY_H
