#include "steering/ReturningCallerDetector.h"

namespace rr {

namespace {

/// A caller with less than this percentage of the maximum time is retrying.
constexpr int ReturningThresholdPercent = 95;
/// The maximum decays by 1/ShrinkDivisor with each request, to follow callers
/// that shorten their deadlines.
constexpr int ShrinkDivisor = 5000;

} // namespace

bool ReturningCallerDetector::isReturning(const std::string &Route,
                                          Clock::duration TimeLeft) {
  Clock::duration &Max = this->MaxTimeLeft[Route];
  Max -= Max / ShrinkDivisor;
  if (TimeLeft >= Max) {
    Max = TimeLeft;
    return false;
  }
  return TimeLeft < Max * ReturningThresholdPercent / 100;
}

} // namespace rr
