#include "rollout/SlowThreshold.h"

#include <algorithm>
#include <cmath>

namespace rr {

namespace {

using namespace std::chrono_literals;

constexpr Clock::duration EstimateInterval = 10s;
// With fewer samples the estimate rests on fewer than five answers.
constexpr std::uint64_t LeastSamples = 100;
// Estimates from 100 answers alone took good versions back at 100%: the last
// one stays when the stable version gets no more traffic, and lets 1% to 10%
// of equal answers count as slow. From 2,000 answers it is 4% to 6%.
constexpr std::uint64_t MostSamples = 4000;
constexpr double FirstEdgeNanoseconds = 50'000;
constexpr double Growth = 1.1;
constexpr double Percentile = 0.95;

} // namespace

void SlowThreshold::recordStable(Clock::duration Latency,
                                 Clock::time_point At) {
  if (this->SinceEstimate == 0)
    this->Start = At;
  const double Ratio = std::max(1.0, static_cast<double>(Latency.count()) /
                                         FirstEdgeNanoseconds);
  const auto Index =
      static_cast<std::size_t>(std::log(Ratio) / std::log(Growth));
  ++this->Buckets[std::min(Index, BucketCount - 1)];
  ++this->Samples;
  ++this->SinceEstimate;
  if (this->SinceEstimate < LeastSamples || At - this->Start < EstimateInterval)
    return;
  std::uint64_t Below = 0;
  std::size_t Last = 0;
  while (static_cast<double>(Below += this->Buckets[Last]) <
         Percentile * static_cast<double>(this->Samples))
    ++Last;
  this->Threshold = Clock::duration(static_cast<Clock::rep>(
      FirstEdgeNanoseconds * std::pow(Growth, static_cast<double>(Last + 1))));
  this->SinceEstimate = 0;
  if (this->Samples < MostSamples)
    return;
  this->Samples = 0;
  for (std::uint32_t &Bucket : this->Buckets)
    this->Samples += (Bucket /= 2);
}

bool SlowThreshold::isSlow(Clock::duration Latency) const {
  return this->Threshold && Latency > *this->Threshold;
}

} // namespace rr
