#ifndef REDWINGRACK_TESTING_TESTLOOP_H
#define REDWINGRACK_TESTING_TESTLOOP_H

#include "base/Clock.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <functional>

namespace rr {

/// Event loop for tests. Pauses rr::Clock for its lifetime; time passes only in
/// advance().
class TestLoop {
public:
  TestLoop();
  ~TestLoop();
  TestLoop(const TestLoop &) = delete;
  TestLoop &operator=(const TestLoop &) = delete;

  asio::io_context &context() { return this->Context; }

  /// Starts a coroutine and runs what is ready. An exception that leaves the
  /// coroutine propagates out of run().
  void spawn(std::function<asio::awaitable<void>()> Task);

  /// Runs all handlers that are ready, without advancing the clock.
  void run();

  /// Advances the clock by \p Time in steps of at most \p Step and runs all
  /// ready handlers after each step.
  void advance(Clock::duration Time,
               Clock::duration Step = std::chrono::milliseconds(10));

private:
  asio::io_context Context;
};

} // namespace rr

#endif // REDWINGRACK_TESTING_TESTLOOP_H
