#include "usage/UsageClock.h"

#include "tables/BootTime.h"

namespace rr {

namespace {

/// Difference up to which the system clock is followed at once.
constexpr Clock::duration MaxSlew = std::chrono::milliseconds(500);
/// Time for which a step of the system clock must last before it is followed:
/// the clocks of other instances, which tell whether it is right, arrive about
/// once a second.
constexpr Clock::duration StepConfirmTime = std::chrono::seconds(3);

} // namespace

UsageClock::UsageClock(std::function<TrueTime()> Source)
    : SystemClock(std::move(Source)), Offset(this->target()) {}

Clock::duration UsageClock::target() const {
  return this->SystemClock().time_since_epoch() -
         bootTime().time_since_epoch() + this->Correction;
}

TrueTime UsageClock::now() const {
  return TrueTime(bootTime().time_since_epoch() + this->Offset);
}

void UsageClock::setCorrection(Clock::duration Value) {
  this->Correction = Value;
  // Nothing speaks for the system clock as it was at the start.
  if (!this->Compared)
    this->Offset = this->target();
  this->Compared = true;
}

void UsageClock::adoptCorrection(Clock::duration Value) {
  const bool Other = std::chrono::abs(Value - this->Correction) > MaxSlew;
  this->setCorrection(Value);
  if (Other)
    this->Offset = this->target();
}

bool UsageClock::update() {
  const Clock::duration Target = this->target();
  if (std::chrono::abs(Target - this->Offset) <= MaxSlew) {
    this->Offset = Target;
    this->DiffersSince.reset();
    return false;
  }
  const Clock::time_point Now = bootTime();
  if (!this->DiffersSince)
    this->DiffersSince = Now;
  if (Now - *this->DiffersSince < StepConfirmTime)
    return false;
  this->Offset = Target;
  this->DiffersSince.reset();
  return true;
}

} // namespace rr
