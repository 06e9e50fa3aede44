#include "routing/LatencyAverage.h"

#include <algorithm>
#include <cmath>

namespace rr {

namespace {

// A server that turns slow is seen within about ten answers; an idle server's
// old average loses its weight within seconds.
constexpr double WeightPerAnswer = 0.1;
constexpr std::chrono::duration<double> TimeConstant{5.0};

} // namespace

void LatencyAverage::record(std::chrono::nanoseconds Latency,
                            Clock::time_point Now) {
  const auto Value = static_cast<double>(Latency.count());
  if (this->Nanoseconds == 0) {
    this->Nanoseconds = Value;
  } else {
    const std::chrono::duration<double> Gap = Now - this->LastRecord;
    const double Weight =
        std::max(WeightPerAnswer, 1 - std::exp(-(Gap / TimeConstant)));
    this->Nanoseconds += Weight * (Value - this->Nanoseconds);
  }
  this->LastRecord = Now;
}

std::chrono::nanoseconds LatencyAverage::value() const {
  return std::chrono::nanoseconds(static_cast<long long>(this->Nanoseconds));
}

} // namespace rr
