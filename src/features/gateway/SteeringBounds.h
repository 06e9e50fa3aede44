#ifndef REDWINGRACK_GATEWAY_STEERINGBOUNDS_H
#define REDWINGRACK_GATEWAY_STEERINGBOUNDS_H

#include "base/Clock.h"
#include "steering/QuotaBounds.h"

namespace rr {

/// Time limits and shares that the fleet guarantees.
struct SteeringBounds {
  /// Longest time for which a withdrawn key is accepted.
  Clock::duration RevocationTime = std::chrono::seconds(5);
  /// Longest time until an order of the operator is in force.
  Clock::duration ConfigurationTime = std::chrono::seconds(3);
  /// Longest time after a backend server said that it drains until it gets no
  /// more requests.
  Clock::duration DrainTime = std::chrono::seconds(2);
  /// Time from the order to stop until the process is killed.
  Clock::duration StopTime = std::chrono::seconds(6);
  /// Longest time for which a caller uses a look-up result.
  Clock::duration LookupLifetime = std::chrono::seconds(3);
  /// Retries allowed per service, as a share of its requests.
  double RetryRatio = 0.2;
  /// Additional retries, for the whole fleet.
  double RetryExtra = 64;
  QuotaBounds Quota;
  /// Largest share of the requests that may be shifted between regions within
  /// one window.
  double MaxShiftShare = 0.15;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_STEERINGBOUNDS_H
