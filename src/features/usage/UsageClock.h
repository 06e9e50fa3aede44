#ifndef REDWINGRACK_USAGE_USAGECLOCK_H
#define REDWINGRACK_USAGE_USAGECLOCK_H

#include "usage/TrueTime.h"

#include <functional>
#include <optional>

namespace rr {

/// True time from the system clock, without the steps of a clock that is set
/// wrongly while the process runs, and corrected by the clocks of the other
/// instances.
class UsageClock {
public:
  explicit UsageClock(std::function<TrueTime()> SystemClock);

  TrueTime now() const;
  /// The system clock as it is.
  TrueTime system() const { return this->SystemClock(); }
  /// Sets what must be added to the system clock, as this instance found from
  /// the clocks of others; see clockCorrection().
  void setCorrection(Clock::duration Value);
  /// The same as the holder found it, which knows most clocks. Takes effect at
  /// once.
  void adoptCorrection(Clock::duration Value);
  Clock::duration correction() const { return this->Correction; }
  /// Follows the system clock. Called several times a second. Returns true if
  /// the time of now() was set to another one.
  bool update();

private:
  Clock::duration target() const;

  std::function<TrueTime()> SystemClock;
  Clock::duration Correction{0};
  /// now() minus bootTime().
  Clock::duration Offset;
  /// Since when the system clock differs from now(); on bootTime().
  std::optional<Clock::time_point> DiffersSince;
  bool Compared = false;
};

} // namespace rr

#endif // REDWINGRACK_USAGE_USAGECLOCK_H
