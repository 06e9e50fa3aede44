#ifndef REDWINGRACK_ROUTING_FORWARDLEASE_H
#define REDWINGRACK_ROUTING_FORWARDLEASE_H

#include "routing/PeerLoad.h"

#include <chrono>
#include <memory>
#include <utility>

namespace rr {

/// One request that is forwarded to another owner, counted until the lease is
/// destroyed.
class ForwardLease {
public:
  /// Time for which a peer that refused is avoided: about the time in which
  /// one of its slots becomes free.
  static constexpr std::chrono::milliseconds RefusalPause{10};

  /// A lease without a peer.
  ForwardLease() = default;
  explicit ForwardLease(std::shared_ptr<PeerLoad> Chosen)
      : Peer(std::move(Chosen)) {
    if (this->Peer)
      ++this->Peer->Outstanding;
  }
  ForwardLease(ForwardLease &&Other) noexcept = default;
  ForwardLease &operator=(ForwardLease &&Other) noexcept {
    std::swap(this->Peer, Other.Peer);
    return *this;
  }
  ~ForwardLease() {
    if (this->Peer)
      --this->Peer->Outstanding;
  }

  explicit operator bool() const { return this->Peer != nullptr; }
  const std::string &instance() const { return this->Peer->Instance; }
  /// The peer had no free slot.
  void noteRefusal(Clock::time_point Now) {
    this->Peer->AvoidUntil = Now + RefusalPause;
  }

private:
  std::shared_ptr<PeerLoad> Peer;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_FORWARDLEASE_H
