#ifndef REDWINGRACK_LIMITS_SHAREUNITS_H
#define REDWINGRACK_LIMITS_SHAREUNITS_H

#include <chrono>
#include <cmath>
#include <cstdint>

namespace rr {

/// Millionths of a request. Integers, so that moving shares between instances
/// conserves them exactly; doubles would drift with every move.
using MicroRequests = std::int64_t;

constexpr MicroRequests OneRequest = 1'000'000;
/// Largest amount that is accepted anywhere (100 million requests). Sums over
/// 10,000 instances stay far inside 64 bits.
constexpr MicroRequests MaxAmount = 100'000'000 * OneRequest;

/// Age up to which a freshness proof holds.
constexpr std::chrono::seconds FreshnessLimit{3};
/// Time after which no instance can still use the epoch before a new one:
/// FreshnessLimit and one second of margin.
constexpr std::chrono::seconds EpochBarrierTime{4};

/// Rounds down, and limits to 0..MaxAmount.
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
