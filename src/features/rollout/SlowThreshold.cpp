#include "rollout/SlowThreshold.h"

#include <algorithm>
#include <cmath>

namespace rr {

namespace {

using namespace std::chrono_literals;

constexpr Clock::duration EstimateInterval = 10s;
// With fewer samples, fewer than five answers determine the percentile.
constexpr std::uint64_t MinSamples = 100;
// Sample count at which the buckets are halved, so that every later estimate
// rests on at least 2,000 answers and classifies 4% to 6% of equal answers as
// slow. An estimate from 100 answers classifies 1% to 10% of them as slow.
// Since the last estimate stays in use when the stable version receives no more
// traffic, good versions were rolled back at 100%.
constexpr std::uint64_t MaxSamples = 4000;
constexpr double FirstBucketNanoseconds = 50'000;
constexpr double BucketGrowth = 1.1;
constexpr double Percentile = 0.95;

} // namespace

void SlowThreshold::recordStable(Clock::duration Latency,
                                 Clock::time_point At) {
  if (this->SamplesSinceEstimate == 0)
    this->EstimateStart = At;
  const double Ratio = std::max(1.0, static_cast<double>(Latency.count()) /
                                         FirstBucketNanoseconds);
  const auto Index =
      static_cast<std::size_t>(std::log(Ratio) / std::log(BucketGrowth));
  ++this->Buckets[std::min(Index, BucketCount - 1)];
  ++this->Samples;
  ++this->SamplesSinceEstimate;
  if (this->SamplesSinceEstimate < MinSamples ||
      At - this->EstimateStart < EstimateInterval)
    return;
  std::uint64_t CumulativeSamples = 0;
  std::size_t BucketIndex = 0;
  while (static_cast<double>(CumulativeSamples += this->Buckets[BucketIndex]) <
         Percentile * static_cast<double>(this->Samples))
    ++BucketIndex;
  this->Threshold = Clock::duration(static_cast<Clock::rep>(
      FirstBucketNanoseconds *
      std::pow(BucketGrowth, static_cast<double>(BucketIndex + 1))));
  this->SamplesSinceEstimate = 0;
  if (this->Samples < MaxSamples)
    return;
  this->Samples = 0;
  for (std::uint32_t &Bucket : this->Buckets)
    this->Samples += (Bucket /= 2);
}

bool SlowThreshold::isSlow(Clock::duration Latency) const {
  return this->Threshold && Latency > *this->Threshold;
}

} // namespace rr
