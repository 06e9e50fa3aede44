#include "routing/UsageAverage.h"

#include <algorithm>
#include <cmath>

namespace rr {

namespace {

// Servers report about once a second; the average spans the same time.
constexpr std::chrono::duration<double> TimeConstant{1.0};

} // namespace

void UsageAverage::set(double NewLevel, Clock::time_point Now) {
  this->Average = this->value(Now);
  this->Level = NewLevel;
  this->Since = Now;
}

double UsageAverage::value(Clock::time_point Now) const {
  // Callers may pass a reading that they took a little earlier.
  const std::chrono::duration<double> Gap =
      std::max(Now - this->Since, Clock::duration::zero());
  const double Kept = std::exp(-(Gap / TimeConstant));
  return this->Level + (this->Average - this->Level) * Kept;
}

} // namespace rr
