#include "peerlink/PeerNodeState.h"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

namespace rr {

namespace {

// Wait after a failed accept, which mostly means that descriptors ran out.
constexpr Clock::duration AcceptPause = std::chrono::milliseconds(100);
constexpr int MostDoublings = 16;

asio::awaitable<void> waitForWake(PeerSlot &Slot, Clock::time_point Until) {
  Slot.Wake.expires_at(Until);
  asio::error_code Ignored;
  co_await Slot.Wake.async_wait(
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
      co_await sleepFor(AcceptPause);
    else
      this->accept(std::move(Socket));
  }
}

void PeerNode::State::accept(asio::ip::tcp::socket Socket) {
  const PeerLimits &Limits = this->Host->Options.Limits;
  if (this->Inbound >= Limits.InboundLinks ||
      this->Unauthenticated >= Limits.UnauthenticatedLinks) {
    ++this->Host->Counters.RefusedLinks;
    return;
  }
  const auto New =
      std::make_shared<Link>(std::move(Socket), WebSocketCodec::Role::Acceptor,
                             this->Host, std::string());
  ++this->Inbound;
  ++this->Unauthenticated;
  this->Links[New->serial()] = New;
  New->start();
}

Clock::duration PeerNode::State::backOff(int Failures) {
  const PeerLimits &Limits = this->Host->Options.Limits;
  auto Most = Limits.FirstBackOff;
  for (int I = 1; I < std::min(Failures, MostDoublings); ++I)
    Most = std::min(Most * 2, Limits.LongestBackOff);
  // Right after the loss of a link the first attempt comes soon, so that a
  // process that has ended is seen by its refusal.
  const auto Least = Failures == 0 ? Clock::duration::zero() : Most / 2;
  std::uniform_int_distribution<Clock::rep> Spread(Least.count(), Most.count());
  return Clock::duration(Spread(this->Jitter));
}

asio::awaitable<void>
PeerNode::State::dialLoop(std::shared_ptr<State> Self,
                          std::shared_ptr<PeerSlot> Slot) {
  int Failures = 0;
  bool First = true;
  while (Slot->Wanted) {
    if (Slot->Active) {
      const auto UpSince = Clock::now();
      while (Slot->Wanted && Slot->Active)
        co_await waitForWake(*Slot, Clock::time_point::max());
      // A peer that drops each new link counts as failing.
      const auto Lived = Clock::now() - UpSince;
      const bool Stable = Lived >= this->Host->Options.Limits.LongestBackOff;
      Failures = Stable ? 0 : Failures + 1;
      First = false;
      continue;
    }
    const auto Until =
        First ? Clock::now() : Clock::now() + this->backOff(Failures);
    First = false;
    while (Slot->Wanted && !Slot->Active && Clock::now() < Until)
      co_await waitForWake(*Slot, Until);
    if (!Slot->Wanted || Slot->Active)
      continue;
    const bool Reached = co_await this->dialOnce(*Slot);
    if (!Reached)
      ++Failures;
  }
  Slot->DialerRuns = false;
}

asio::awaitable<bool> PeerNode::State::dialOnce(PeerSlot &Slot) {
  const auto Socket = std::make_shared<asio::ip::tcp::socket>(this->Context);
  Timer Limit(this->Context, this->Host->Options.Limits.ConnectTime);
  Limit.async_wait([Socket](const asio::error_code &Error) {
    asio::error_code Ignored;
    if (!Error)
      Socket->close(Ignored);
  });
  Slot.Connecting = Socket;
  asio::error_code Error;
  co_await Socket->async_connect(
      Slot.Address, asio::redirect_error(asio::use_awaitable, Error));
  Slot.Connecting = nullptr;
  // A timer that expired just now has its handler queued and will close the
  // socket.
  const bool InTime = Limit.cancel() > 0;
  if (!Slot.Wanted)
    co_return false;
  if (Error == asio::error::connection_refused) {
    ++this->Host->Counters.ConnectsRefused;
    this->report(PeerEvent::Kind::ConnectRefused, Slot.Name, LinkEnd::Lost);
    co_return false;
  }
  if (Error || !InTime) {
    ++this->Host->Counters.ConnectsFailed;
    this->report(PeerEvent::Kind::ConnectFailed, Slot.Name, LinkEnd::Silent);
    co_return false;
  }
  const auto New = std::make_shared<Link>(
      std::move(*Socket), WebSocketCodec::Role::Dialer, this->Host, Slot.Name);
  ++this->Unauthenticated;
  this->Links[New->serial()] = New;
  Slot.Dialing = New;
  New->start();
  while (Slot.Dialing)
    co_await waitForWake(Slot, Clock::time_point::max());
  co_return New->wasUp();
}

} // namespace rr
