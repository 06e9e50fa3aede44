#ifndef REDWINGRACK_PEERLINK_PEEREVENT_H
#define REDWINGRACK_PEERLINK_PEEREVENT_H

#include "peerlink/LinkEndReason.h"

#include <cstdint>
#include <string>

namespace rr {

/// Change in the reachability of a peer.
struct PeerEvent {
  enum class Kind : std::uint8_t {
    LinkUp,
    /// The link ended; Reason says why.
    LinkDown,
    /// The peer's host refused the connection: no process listens at its
    /// address. Reported for each attempt.
    ConnectRefused,
    /// No answer to the connection attempt, or no route: says nothing about
    /// the peer's process. Reported for each attempt.
    ConnectFailed,
    /// A connection ended before both ends were authenticated; Reason says
    /// why. Peer is empty when the other end opened it.
    HandshakeFailed,
  };

  Kind Type = Kind::LinkUp;
  std::string Peer;
  LinkEndReason Reason = LinkEndReason::Lost;
  /// Other end of a connection whose handshake failed, as 127.0.0.1:80.
  std::string Address;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEEREVENT_H
