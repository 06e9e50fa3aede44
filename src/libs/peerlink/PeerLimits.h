#ifndef REDWINGRACK_PEERLINK_PEERLIMITS_H
#define REDWINGRACK_PEERLINK_PEERLIMITS_H

#include "base/Clock.h"

#include <chrono>
#include <cstddef>

namespace rr {

/// Limits on the links of one instance.
struct PeerLimits {
  /// Maximum size of an encoded message.
  std::size_t MaxMessageBytes = std::size_t{1} << 20;
  /// Maximum unsent bytes of one link, and of all links together.
  std::size_t MaxLinkQueueBytes = std::size_t{2} << 20;
  std::size_t MaxTotalQueueBytes = std::size_t{24} << 20;
  /// Maximum open calls per link, separately for outgoing and incoming calls.
  std::size_t MaxOpenCalls = 4096;
  /// Links opened by other instances, authenticated or not.
  std::size_t MaxInboundLinks = 512;
  std::size_t MaxUnauthenticatedLinks = 128;

  Clock::duration ConnectTimeout = std::chrono::seconds(2);
  /// From the established TCP connection to the end of the handshake.
  Clock::duration HandshakeTimeout = std::chrono::seconds(3);
  Clock::duration HeartbeatInterval = std::chrono::seconds(1);
  /// A link is closed when nothing was received, or a started write made no
  /// progress, for this time.
  Clock::duration SilenceTimeout = std::chrono::seconds(3);
  Clock::duration InitialBackOff = std::chrono::milliseconds(50);
  /// Well below the freshness limit of 3 s, because a refused connection is
  /// evidence that the peer's process has ended, and that evidence must be
  /// renewed within the limit.
  Clock::duration MaxBackOff = std::chrono::seconds(1);
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEERLIMITS_H
