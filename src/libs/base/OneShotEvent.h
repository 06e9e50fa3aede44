#ifndef REDWINGRACK_BASE_ONESHOTEVENT_H
#define REDWINGRACK_BASE_ONESHOTEVENT_H

#include "base/Timer.h"

#include <asio/any_io_executor.hpp>

namespace rr {

/// Event that a single coroutine waits for and that is set at most once, on the
/// same thread.
class OneShotEvent {
public:
  explicit OneShotEvent(const asio::any_io_executor &Executor);

  void set();
  bool isSet() const { return this->Set; }

  /// Waits for set(), at most until \p Deadline. Returns whether the event is
  /// set.
  asio::awaitable<bool> waitUntil(Clock::time_point Deadline);
  asio::awaitable<bool> wait();

private:
  Timer Waiter;
  bool Set = false;
};

} // namespace rr

#endif // REDWINGRACK_BASE_ONESHOTEVENT_H
