#ifndef REDWINGRACK_ROLLOUT_SLOWTHRESHOLD_H
#define REDWINGRACK_ROLLOUT_SLOWTHRESHOLD_H

#include "base/Clock.h"

#include <array>
#include <cstdint>
#include <optional>

namespace rr {

/// Estimates the 95th percentile of the stable version's latency on one route
/// from its last few thousand answers. Both versions are judged by the estimate
/// made before, so that the same share of equal versions counts as slow.
class SlowThreshold {
public:
  void recordStable(Clock::duration Latency, Clock::time_point At);
  /// False until the first estimate.
  bool isSlow(Clock::duration Latency) const;

private:
  /// Steps of a tenth from 50 us to more than 100 s.
  static constexpr std::size_t BucketCount = 160;

  std::array<std::uint32_t, BucketCount> Buckets{};
  std::uint64_t Samples = 0;
  std::uint64_t SamplesSinceEstimate = 0;
  Clock::time_point EstimateStart;
  std::optional<Clock::duration> Threshold;
};

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_SLOWTHRESHOLD_H
