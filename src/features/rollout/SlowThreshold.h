#ifndef REDWINGRACK_ROLLOUT_SLOWTHRESHOLD_H
#define REDWINGRACK_ROLLOUT_SLOWTHRESHOLD_H

#include "base/Clock.h"

#include <array>
#include <cstdint>
#include <optional>

namespace rr {

/// Estimates the 95th percentile of the stable version's latency on one route
/// from its last few thousand answers. Answers of both versions are compared
/// with the previous estimate, so that equal versions have the same fraction of
/// slow answers.
class SlowThreshold {
public:
  void recordStable(Clock::duration Latency, Clock::time_point At);
  /// False until the first estimate is available.
  bool isSlow(Clock::duration Latency) const;

private:
  /// Each bucket is 10% wider than the one before; together they cover 50 us to
  /// more than 100 s.
  static constexpr std::size_t BucketCount = 160;

  std::array<std::uint32_t, BucketCount> Buckets{};
  std::uint64_t Samples = 0;
  std::uint64_t SamplesSinceEstimate = 0;
  Clock::time_point EstimateStart;
  std::optional<Clock::duration> Threshold;
};

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_SLOWTHRESHOLD_H
