#include "base/Clock.h"
#include "base/OneShotEvent.h"
#include "base/Timer.h"
#include "testing/TestLoop.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

// Guards against timers that run on the hardware clock while tests pause it.
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

// Guards against an event that is lost when it is set before the wait.
TEST_CASE("An event wakes its waiter, also when set first") {
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
