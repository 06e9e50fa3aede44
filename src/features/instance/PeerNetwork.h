#ifndef REDWINGRACK_INSTANCE_PEERNETWORK_H
#define REDWINGRACK_INSTANCE_PEERNETWORK_H

#include "base/Cancellation.h"
#include "base/Clock.h"
#include "base/Outcome.h"

#include <asio/awaitable.hpp>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace rr {

/// Links to other instances as functions, so that tests put a network of
/// their own in place.
struct PeerNetwork {
  /// Keeps a link to the peer up.
  std::function<void(const std::string &Peer, const std::string &Address)>
      Connect;
  std::function<void(const std::string &Peer)> Disconnect;
  std::function<bool(const std::string &Peer)> IsLinked;
  /// One way; lost when there is no link.
  std::function<void(const std::string &Peer, const std::string &Method,
                     const nlohmann::json &Body)>
      Send;
  /// Errc::Unavailable, LimitReached, TooLarge, Malformed and NotFound say
  /// that the peer did not run the call; after any other error it may have.
  std::function<asio::awaitable<Outcome<nlohmann::json>>(
      std::string Peer, std::string Method, nlohmann::json Body,
      Clock::time_point Deadline, CancellationPtr Cancel)>
      Call;
};

} // namespace rr

#endif // REDWINGRACK_INSTANCE_PEERNETWORK_H
