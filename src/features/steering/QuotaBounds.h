#ifndef REDWINGRACK_STEERING_QUOTABOUNDS_H
#define REDWINGRACK_STEERING_QUOTABOUNDS_H

#include "base/Clock.h"

namespace rr {

/// Tolerances for enforcing a workspace's rate across the fleet.
struct QuotaBounds {
  /// Time over which requests are counted.
  Clock::duration Window = std::chrono::seconds(5);
  /// Permitted excess over rate and burst in a window, as a fraction of them.
  double Overage = 0;
  /// Further permitted excess per window, in requests.
  double Tolerance = 0;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_QUOTABOUNDS_H
