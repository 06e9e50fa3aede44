#include "peerlink/Link.h"

#include <algorithm>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <chrono>

namespace rr {

namespace {

// Time that the other end gets to read the close frame before the socket is
// closed.
constexpr Clock::duration LingerTimeout = std::chrono::milliseconds(500);
// Minimum time for which a retired link stays open to receive messages in
// transit.
constexpr Clock::duration MinRetireTime = std::chrono::seconds(1);

} // namespace

asio::awaitable<void> Link::waitUntil(Clock::time_point Time) {
  this->HealthTimer.expires_at(Time);
  asio::error_code Ignored;
  co_await this->HealthTimer.async_wait(
      asio::redirect_error(asio::use_awaitable, Ignored));
}

Clock::time_point Link::nextCheck() const {
  const PeerLimits &Limits = this->Shared->Options.Limits;
  if (this->Phase == State::Handshaking)
    return this->Started + Limits.HandshakeTimeout;
  auto Next = std::min(this->LastPing + Limits.HeartbeatInterval,
                       this->LastReceived + Limits.SilenceTimeout);
  if (this->WriteActive)
    Next = std::min(Next, this->WriteStarted + Limits.SilenceTimeout);
  return Next;
}

asio::awaitable<void> Link::healthLoop(std::shared_ptr<Link> Self) {
  while (this->Phase != State::Ended) {
    co_await this->waitUntil(this->nextCheck());
    if (this->Phase != State::Ended)
      this->checkHealth(Clock::now());
  }
  co_await this->linger();
}

void Link::checkHealth(Clock::time_point Now) {
  const PeerLimits &Limits = this->Shared->Options.Limits;
  if (this->Phase == State::Handshaking) {
    if (Now >= this->Started + Limits.HandshakeTimeout)
      this->end(LinkEndReason::HandshakeTimeout);
    return;
  }
  const bool Stalled =
      this->WriteActive && Now >= this->WriteStarted + Limits.SilenceTimeout;
  if (Stalled || Now >= this->LastReceived + Limits.SilenceTimeout)
    return this->end(LinkEndReason::Silent);
  if (this->Retiring && Now >= this->RetiredAt + MinRetireTime &&
      !this->Shared->HasOpenCalls(*this))
    return this->end(LinkEndReason::Duplicate);
  if (Now >= this->LastPing + Limits.HeartbeatInterval)
    this->sendPing(Now);
}

void Link::sendPing(Clock::time_point Now) {
  this->LastPing = Now;
  this->Codec.ping(std::to_string(++this->PingNumber));
}

asio::awaitable<void> Link::linger() {
  const auto Until = Clock::now() + LingerTimeout;
  while (this->Socket.is_open() && Clock::now() < Until) {
    this->startWrite();
    co_await this->waitUntil(Until);
  }
  this->closeSocket();
}

} // namespace rr
