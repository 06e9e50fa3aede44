#include "testing/RunReady.h"

#include "base/Timer.h"

#include <memory>

namespace rr {

namespace {

/// A test whose handlers never finish starting new ones fails on its
/// conditions instead of hanging.
constexpr int MaxRounds = 10000;

/// Runs ready handlers until each reactor has checked its timers once. Returns
/// whether any handler ran besides that check.
bool runRound(const std::vector<asio::io_context *> &Contexts) {
  std::size_t Pending = Contexts.size();
  std::vector<std::unique_ptr<Timer>> Triggers;
  for (asio::io_context *Context : Contexts) {
    Context->restart();
    // The reactor checks its timers only when its kernel timer expires, which
    // follows real time. A timer that has expired makes it check them all.
    Triggers.push_back(
        std::make_unique<Timer>(*Context, Clock::time_point::min()));
    Triggers.back()->async_wait(
        [&Pending](const asio::error_code &) { --Pending; });
  }
  std::size_t Handled = 0;
  // The kernel may report the expiry late, so poll() returning 0 does not end
  // the round.
  for (std::size_t Last = 1; Last > 0 || Pending > 0;) {
    Last = 0;
    for (asio::io_context *Context : Contexts)
      Last += Context->poll();
    Handled += Last;
  }
  return Handled > Contexts.size();
}

} // namespace

void runReady(const std::vector<asio::io_context *> &Contexts) {
  for (int Round = 0; Round < MaxRounds && runRound(Contexts); ++Round)
    ;
}

} // namespace rr
