#ifndef REDWINGRACK_BASE_CLOCK_H
#define REDWINGRACK_BASE_CLOCK_H

#include <chrono>

namespace rr {

/// Monotonic clock used by all timers and time-dependent code, so that tests
/// can pause it and advance it manually.
struct Clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;

  /// Stops the clock at the current time.
  static void pause();
  /// Stops the clock at \p Reading, for tests that depend on how long the
  /// machine has been up.
  static void pauseAt(time_point Reading);
  /// Restarts a paused clock from the time that it shows.
  static void resume();
  /// Moves a paused clock forward. Requires a paused clock and \p Step >= 0.
  static void advance(duration Step);
  static bool isPaused() noexcept;
};

} // namespace rr

#endif // REDWINGRACK_BASE_CLOCK_H
