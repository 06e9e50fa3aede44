#include "base/Clock.h"
#include "base/OneShotEvent.h"
#include "base/Timer.h"
#include "testing/TestLoop.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

// Guards against timers that expire in real time while the clock is paused.
TEST_CASE("A paused clock holds timers until it is advanced") {
  TestLoop Loop;
  bool Fired = false;
  Loop.spawn([&]() -> asio::awaitable<void> {
    co_await sleepFor(10s);
    Fired = true;
  });
  Loop.advance(9s);
  CHECK_FALSE(Fired);
  Loop.advance(2s);
  CHECK(Fired);
}

// Guards against losing an event that is set before the wait begins.
TEST_CASE("Waiting for an event that is already set returns true") {
  TestLoop Loop;
  OneShotEvent Event(Loop.context().get_executor());
  Event.set();
  bool Woken = false;
  Loop.spawn([&]() -> asio::awaitable<void> {
    Woken = co_await Event.waitUntil(Clock::now() + 1s);
  });
  Loop.run();
  CHECK(Woken);
}

// Guards against due timers that wait for the next step.
TEST_CASE("Each step of a paused clock runs all timers that are due") {
  TestLoop Loop;
  int Wakeups = 0;
  Loop.spawn([&]() -> asio::awaitable<void> {
    for (;;) {
      co_await sleepFor(10ms);
      co_await sleepFor(0ms);
      ++Wakeups;
    }
  });
  for (int Step = 1; Step <= 2000; ++Step) {
    Loop.advance(10ms);
    REQUIRE(Wakeups == Step);
  }
}
