#ifndef REDWINGRACK_GATEWAY_STEERINGBOUNDS_H
#define REDWINGRACK_GATEWAY_STEERINGBOUNDS_H

#include "base/Clock.h"
#include "steering/QuotaBounds.h"

namespace rr {

/// Times and shares within which the fleet must keep its promises.
struct SteeringBounds {
  /// A withdrawn key works no longer than this.
  Clock::duration RevocationTime = std::chrono::seconds(5);
  /// From the order to stop to the forced end of the process.
  Clock::duration StopTime = std::chrono::seconds(6);
  /// Longest time that a caller keeps a list of instances.
  Clock::duration LookupLifetime = std::chrono::seconds(3);
  /// Retries at a service, as a part of its requests.
  double RetryRatio = 0.2;
  /// Retries on top of that, over the whole fleet.
  double RetryExtra = 64;
  QuotaBounds Quota;
  /// Share of a region's requests that may change their region at once.
  double MaxShiftShare = 0.15;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_STEERINGBOUNDS_H
