#ifndef REDWINGRACK_STEERING_QUOTABOUNDS_H
#define REDWINGRACK_STEERING_QUOTABOUNDS_H

#include "base/Clock.h"

namespace rr {

/// How exactly a workspace's rate must be held over the whole fleet.
struct QuotaBounds {
  /// Time over which requests are counted.
  Clock::duration Window = std::chrono::seconds(5);
  /// Allowed beyond the rate and burst of a window, as a part of them.
  double Overage = 0;
  /// Allowed on top of that, in requests.
  double Tolerance = 0;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_QUOTABOUNDS_H
