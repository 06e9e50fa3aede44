#ifndef REDWINGRACK_BASE_CLOCK_H
#define REDWINGRACK_BASE_CLOCK_H

#include <chrono>

namespace rr {

/// Monotonic clock of the process. Tests pause it and advance it by hand; all
/// timers and all policy read the time from here.
struct Clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;

  /// Stops the clock at its current reading.
  static void pause();
  /// Lets a paused clock run on from its current reading.
  static void resume();
  /// Moves a paused clock forward. Requires a paused clock and \p Step >= 0.
  static void advance(duration Step);
  static bool isPaused() noexcept;
};

} // namespace rr

#endif // REDWINGRACK_BASE_CLOCK_H
