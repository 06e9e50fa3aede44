#include "base/Timer.h"

#include <algorithm>
#include <asio/this_coro.hpp>
#include <asio/use_awaitable.hpp>

namespace rr {

namespace {

// While the clock is paused, the remaining real time is unknown, so the reactor
// polls the clock at this interval.
constexpr Clock::duration PausedPollInterval = std::chrono::milliseconds(1);

} // namespace

Clock::duration
ClockWaitTraits::to_wait_duration(const Clock::duration &Remaining) {
  if (Clock::isPaused() && Remaining > Clock::duration::zero())
    return std::min(Remaining, PausedPollInterval);
  return Remaining;
}

Clock::duration
ClockWaitTraits::to_wait_duration(const Clock::time_point &Expiry) {
  const Clock::time_point Now = Clock::now();
  if (Expiry <= Now)
    return Clock::duration::zero();
  return to_wait_duration(Expiry - Now);
}

asio::awaitable<void> sleepFor(Clock::duration Time) {
  Timer Sleep(co_await asio::this_coro::executor, Time);
  co_await Sleep.async_wait(asio::use_awaitable);
}

} // namespace rr
