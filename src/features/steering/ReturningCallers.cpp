#include "steering/ReturningCallers.h"

namespace rr {

namespace {

/// A caller with less than this part of the longest time is back.
constexpr int LeastPercent = 95;
/// The longest time shrinks by this part with each request, so that it
/// follows callers that become less patient.
constexpr int ShrinkDivisor = 5000;

} // namespace

bool ReturningCallers::isBack(const std::string &Route,
                              Clock::duration TimeLeft) {
  Clock::duration &Most = this->Longest[Route];
  Most -= Most / ShrinkDivisor;
  if (TimeLeft >= Most) {
    Most = TimeLeft;
    return false;
  }
  return TimeLeft < Most * LeastPercent / 100;
}

} // namespace rr
