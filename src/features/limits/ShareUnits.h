#ifndef REDWINGRACK_LIMITS_SHAREUNITS_H
#define REDWINGRACK_LIMITS_SHAREUNITS_H

#include "membership/Timing.h"

#include <cmath>
#include <cstdint>

namespace rr {

/// Millionths of a request. Moving integers between instances conserves the sum
/// exactly; doubles would drift with every move.
using MicroRequests = std::int64_t;

constexpr MicroRequests OneRequest = 1'000'000;
/// Largest accepted amount (100 million requests). Sums over 10,000 instances
/// fit in 64 bits.
constexpr MicroRequests MaxAmount = 100'000'000 * OneRequest;

/// Time after which no instance can still use the previous epoch:
/// FreshnessLimit plus a margin of one second.
constexpr Clock::duration EpochBarrierTime = InForceDelay;

/// Rounds down and clamps to the range from 0 to MaxAmount.
inline MicroRequests toMicroRequests(double Requests) {
  if (!(Requests > 0))
    return 0;
  const double Scaled = std::floor(Requests * double(OneRequest));
  return Scaled >= double(MaxAmount) ? MaxAmount : MicroRequests(Scaled);
}

inline double toRequests(MicroRequests Amount) {
  return double(Amount) / double(OneRequest);
}

} // namespace rr

#endif // REDWINGRACK_LIMITS_SHAREUNITS_H
