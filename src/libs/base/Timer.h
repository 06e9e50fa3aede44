#ifndef REDWINGRACK_BASE_TIMER_H
#define REDWINGRACK_BASE_TIMER_H

#include "base/Clock.h"

#include <asio/awaitable.hpp>
#include <asio/basic_waitable_timer.hpp>

namespace rr {

/// Converts rr::Clock times to the real time that Asio's reactor may sleep.
struct ClockWaitTraits {
  static Clock::duration to_wait_duration(const Clock::duration &Remaining);
  static Clock::duration to_wait_duration(const Clock::time_point &Expiry);
};

/// Asio timer that uses rr::Clock.
using Timer = asio::basic_waitable_timer<Clock, ClockWaitTraits>;

/// Suspends the calling coroutine for \p Time. Throws asio::system_error only
/// when the coroutine is cancelled.
asio::awaitable<void> sleepFor(Clock::duration Time);

} // namespace rr

#endif // REDWINGRACK_BASE_TIMER_H
