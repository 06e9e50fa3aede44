#include "peerlink/PeerNodeState.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

namespace rr {

namespace {

// Delay after a failed accept, most likely because of exhausted file
// descriptors.
constexpr Clock::duration AcceptRetryDelay = std::chrono::milliseconds(100);
constexpr int MaxBackOffDoublings = 16;

asio::awaitable<void> waitForWakeUp(PeerSlot &Slot, Clock::time_point Until) {
  Slot.WakeTimer.expires_at(Until);
  asio::error_code Ignored;
  co_await Slot.WakeTimer.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
}

} // namespace

asio::awaitable<void> PeerNode::State::acceptLoop(std::shared_ptr<State> Self) {
  while (!this->Stopped) {
    asio::ip::tcp::socket Socket(this->Context);
    asio::error_code Error;
    co_await this->Acceptor.async_accept(
        Socket, asio::redirect_error(asio::use_awaitable, Error));
    if (this->Stopped)
      co_return;
    if (Error)
      co_await sleepFor(AcceptRetryDelay);
    else
      this->accept(std::move(Socket));
  }
}

void PeerNode::State::accept(asio::ip::tcp::socket Socket) {
  const PeerLimits &Limits = this->Shared->Options.Limits;
  if (this->Inbound >= Limits.MaxInboundLinks ||
      this->Unauthenticated >= Limits.MaxUnauthenticatedLinks) {
    ++this->Shared->Counters.RefusedLinks;
    return;
  }
  const auto New =
      std::make_shared<Link>(std::move(Socket), WebSocketCodec::Role::Acceptor,
                             this->Shared, std::string());
  ++this->Inbound;
  ++this->Unauthenticated;
  this->Links[New->serial()] = New;
  New->start();
}

Clock::duration PeerNode::State::backOff(int Failures) {
  const PeerLimits &Limits = this->Shared->Options.Limits;
  auto Most = Limits.InitialBackOff;
  for (int I = 1; I < std::min(Failures, MaxBackOffDoublings); ++I)
    Most = std::min(Most * 2, Limits.MaxBackOff);
  // The first attempt after the loss of a link has no minimum delay, so that a
  // refused connection soon shows whether the peer's process has ended.
  const auto Least = Failures == 0 ? Clock::duration::zero() : Most / 2;
  std::uniform_int_distribution<Clock::rep> Spread(Least.count(), Most.count());
  return Clock::duration(Spread(this->Jitter));
}

asio::awaitable<void>
PeerNode::State::dialLoop(std::shared_ptr<State> Self,
                          std::shared_ptr<PeerSlot> Slot) {
  int Failures = 0;
  bool First = true;
  while (Slot->KeepLinked) {
    if (Slot->Active) {
      const auto UpSince = Clock::now();
      while (Slot->KeepLinked && Slot->Active)
        co_await waitForWakeUp(*Slot, Clock::time_point::max());
      // A link that is lost soon after it came up counts as a failed attempt,
      // so that the back-off grows.
      const auto Lived = Clock::now() - UpSince;
      const bool Stable = Lived >= this->Shared->Options.Limits.MaxBackOff;
      Failures = Stable ? 0 : Failures + 1;
      First = false;
      continue;
    }
    const auto Until =
        First ? Clock::now() : Clock::now() + this->backOff(Failures);
    First = false;
    while (Slot->KeepLinked && !Slot->Active && Clock::now() < Until)
      co_await waitForWakeUp(*Slot, Until);
    if (!Slot->KeepLinked || Slot->Active)
      continue;
    const bool Reached = co_await this->dialOnce(*Slot);
    if (!Reached)
      ++Failures;
  }
  Slot->DialLoopRunning = false;
}

asio::awaitable<bool> PeerNode::State::dialOnce(PeerSlot &Slot) {
  const auto Socket = std::make_shared<asio::ip::tcp::socket>(this->Context);
  Timer Limit(this->Context, this->Shared->Options.Limits.ConnectTimeout);
  Limit.async_wait([Socket](const asio::error_code &Error) {
    asio::error_code Ignored;
    if (!Error)
      Socket->close(Ignored);
  });
  Slot.PendingSocket = Socket;
  asio::error_code Error;
  co_await Socket->async_connect(
      Slot.Address, asio::redirect_error(asio::use_awaitable, Error));
  Slot.PendingSocket = nullptr;
  // If the timer has already expired, its queued handler will close the socket.
  const bool InTime = Limit.cancel() > 0;
  if (!Slot.KeepLinked)
    co_return false;
  if (Error == asio::error::connection_refused) {
    ++this->Shared->Counters.ConnectsRefused;
    this->report(PeerEvent::Kind::ConnectRefused, Slot.Name,
                 LinkEndReason::Lost);
    co_return false;
  }
  if (Error || !InTime) {
    ++this->Shared->Counters.ConnectsFailed;
    this->report(PeerEvent::Kind::ConnectFailed, Slot.Name,
                 LinkEndReason::Silent);
    co_return false;
  }
  const auto New =
      std::make_shared<Link>(std::move(*Socket), WebSocketCodec::Role::Dialer,
                             this->Shared, Slot.Name);
  ++this->Unauthenticated;
  this->Links[New->serial()] = New;
  Slot.PendingLink = New;
  New->start();
  while (Slot.PendingLink)
    co_await waitForWakeUp(Slot, Clock::time_point::max());
  co_return New->wasUp();
}

} // namespace rr
