#include "routing/LoadHint.h"

#include <algorithm>
#include <cmath>

namespace rr {

namespace {

constexpr std::chrono::seconds MaxReportAge{3};
constexpr std::chrono::seconds DistrustTime{30};
// A report that lags by a second may miss the last change of the usage.
constexpr double UsageTolerance = 0.4;
constexpr double LowLoad = 0.5;

} // namespace

void LoadHint::report(double NewLoad, double OwnUsage, bool Slow,
                      Clock::time_point Now) {
  // A NaN is a malformed report and says nothing.
  if (std::isnan(NewLoad))
    return;
  this->Load = std::clamp(NewLoad, 0.0, 1.0);
  this->ReportedAt = Now;
  this->Reported = true;
  if (this->Load < OwnUsage - UsageTolerance || (Slow && this->Load < LowLoad))
    this->DistrustedUntil = Now + DistrustTime;
}

double LoadHint::factor(Clock::time_point Now) const {
  if (!this->Reported || Now - this->ReportedAt >= MaxReportAge ||
      this->isDistrusted(Now))
    return 1;
  return std::exp2(2 * this->Load - 1);
}

bool LoadHint::isDistrusted(Clock::time_point Now) const {
  return Now < this->DistrustedUntil;
}

} // namespace rr
