#ifndef REDWINGRACK_TESTING_TESTLOOP_H
#define REDWINGRACK_TESTING_TESTLOOP_H

#include "base/Clock.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <functional>

namespace rr {

/// Event loop for tests. Pauses the clock for its lifetime and moves it only
/// through advance().
class TestLoop {
public:
  TestLoop();
  ~TestLoop();
  TestLoop(const TestLoop &) = delete;
  TestLoop &operator=(const TestLoop &) = delete;

  asio::io_context &context() { return this->Context; }

  /// Starts a coroutine; an exception that leaves it fails the process.
  void spawn(std::function<asio::awaitable<void>()> Task);

  /// Runs everything that is ready, without moving the clock.
  void run();

  /// Moves the clock by \p Time in steps of at most \p Step and runs what
  /// becomes ready after each step.
  void advance(Clock::duration Time,
               Clock::duration Step = std::chrono::milliseconds(10));

private:
  asio::io_context Context;
};

} // namespace rr

#endif // REDWINGRACK_TESTING_TESTLOOP_H
