#include "base/Clock.h"

#include <atomic>
#include <cassert>

namespace rr {

namespace {

std::atomic<bool> Paused{false};
// Time that a paused clock shows. Offset is what a clock that was paused adds
// to the steady clock after resume().
std::atomic<Clock::rep> PausedReading{0};
std::atomic<Clock::rep> Offset{0};

Clock::rep steadyClockReading() noexcept {
  const auto Now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Clock::duration>(Now).count();
}

} // namespace

Clock::time_point Clock::now() noexcept {
  if (Paused.load(std::memory_order_relaxed))
    return time_point(duration(PausedReading.load(std::memory_order_relaxed)));
  return time_point(duration(steadyClockReading() + Offset.load()));
}

void Clock::pause() { pauseAt(now()); }

void Clock::pauseAt(time_point Reading) {
  PausedReading = Reading.time_since_epoch().count();
  Paused = true;
}

void Clock::resume() {
  Offset = PausedReading - steadyClockReading();
  Paused = false;
}

void Clock::advance(duration Step) {
  assert(Paused && Step >= duration::zero());
  PausedReading += Step.count();
}

bool Clock::isPaused() noexcept { return Paused; }

} // namespace rr
