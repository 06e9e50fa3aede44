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
    /// The link was closed; see Reason.
    LinkDown,
    /// The peer's host refused the connection, so no process listens on its
    /// address. Reported for each attempt.
    ConnectRefused,
    /// The connection attempt timed out or failed otherwise. Does not tell
    /// whether the peer's process runs. Reported for each attempt.
    ConnectFailed,
    /// A connection was closed before both ends were authenticated; see
    /// Reason. Peer is empty when the other end opened the connection.
    HandshakeFailed,
  };

  Kind Type = Kind::LinkUp;
  std::string Peer;
  LinkEndReason Reason = LinkEndReason::Lost;
  /// Remote address of a connection whose handshake failed, as 127.0.0.1:80.
  std::string Address;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEEREVENT_H
