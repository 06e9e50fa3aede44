#ifndef REDWINGRACK_ROUTING_LATENCYAVERAGE_H
#define REDWINGRACK_ROUTING_LATENCYAVERAGE_H

#include "base/Clock.h"

#include <chrono>

namespace rr {

/// Average of answer times in which recent answers count most.
class LatencyAverage {
public:
  void record(std::chrono::nanoseconds Latency, Clock::time_point Now);
  /// Zero while nothing was recorded.
  std::chrono::nanoseconds value() const;

private:
  double Nanoseconds = 0;
  Clock::time_point LastRecord{};
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_LATENCYAVERAGE_H
