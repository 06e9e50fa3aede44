#include "steering/ReturningCallerDetector.h"

namespace rr {

namespace {

/// A caller with less than this part of the longest time is back.
constexpr int ReturningThresholdPercent = 95;
/// The longest time shrinks by this part with each request, so that it
/// follows callers that become less patient.
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
