#include "base/OneShotEvent.h"

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace rr {

OneShotEvent::OneShotEvent(const asio::any_io_executor &Executor)
    : Waiter(Executor) {}

void OneShotEvent::set() {
  this->Set = true;
  this->Waiter.cancel();
}

asio::awaitable<bool> OneShotEvent::waitUntil(Clock::time_point Deadline) {
  if (this->Set)
    co_return true;
  this->Waiter.expires_at(Deadline);
  asio::error_code Ignored;
  co_await this->Waiter.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
  co_return this->Set;
}

asio::awaitable<bool> OneShotEvent::wait() {
  return this->waitUntil(Clock::time_point::max());
}

} // namespace rr
