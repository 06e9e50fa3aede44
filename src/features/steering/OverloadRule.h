#ifndef REDWINGRACK_STEERING_OVERLOADRULE_H
#define REDWINGRACK_STEERING_OVERLOADRULE_H

#include "base/Clock.h"

#include <optional>

namespace rr {

/// What an instance measures about its own load.
struct OverloadSample {
  /// Connections of callers as a fraction of those that the instance may have.
  double CallerUse = 0;
  /// How late the event loop runs its handlers.
  Clock::duration LoopDelay{0};
};

/// Whether an instance is overloaded, with the times that the rule needs.
struct OverloadState {
  /// Since when the instance is overloaded; empty if it is not.
  std::optional<Clock::time_point> Since;
  /// Since when the delay of the event loop has been high.
  std::optional<Clock::time_point> DelayHighSince;
  /// Since when both values have been low.
  std::optional<Clock::time_point> CalmSince;
};

/// The state after \p Sample was taken at \p Now. Overload begins at higher
/// values than those at which it ends, and ends only after some seconds.
OverloadState updateOverload(const OverloadState &State,
                             const OverloadSample &Sample,
                             Clock::time_point Now);

} // namespace rr

#endif // REDWINGRACK_STEERING_OVERLOADRULE_H
