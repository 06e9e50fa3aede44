#ifndef REDWINGRACK_STEERING_QUOTAGRANT_H
#define REDWINGRACK_STEERING_QUOTAGRANT_H

#include "base/Clock.h"
#include "limits/ShareUnits.h"

namespace rr {

/// Tokens that one instance gives to another.
struct QuotaGrant {
  /// Zero, or at least one request.
  MicroRequests Amount = 0;
  /// If nothing was granted, the estimated time until tokens are available.
  Clock::duration Wait{0};
};

} // namespace rr

#endif // REDWINGRACK_STEERING_QUOTAGRANT_H
