#include "testing/TestLoop.h"

#include "testing/RunReady.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <exception>

namespace rr {

TestLoop::TestLoop() { Clock::pause(); }

TestLoop::~TestLoop() { Clock::resume(); }

void TestLoop::spawn(std::function<asio::awaitable<void>()> Task) {
  auto OnEnd = [](const std::exception_ptr &Error) {
    if (Error)
      std::rethrow_exception(Error);
  };
  // Keeps the callable alive as long as the coroutine that uses its captures.
  auto Run =
      [](std::function<asio::awaitable<void>()> Body) -> asio::awaitable<void> {
    co_await Body();
  };
  asio::co_spawn(this->Context, Run(std::move(Task)), OnEnd);
  this->run();
}

void TestLoop::run() { runReady(this->Context); }

void TestLoop::advance(Clock::duration Time, Clock::duration Step) {
  while (Time > Clock::duration::zero()) {
    const Clock::duration Part = std::min(Time, Step);
    Clock::advance(Part);
    Time -= Part;
    this->run();
  }
}

} // namespace rr
