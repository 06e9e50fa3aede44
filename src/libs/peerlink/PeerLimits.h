#ifndef REDWINGRACK_PEERLINK_PEERLIMITS_H
#define REDWINGRACK_PEERLINK_PEERLIMITS_H

#include "base/Clock.h"

#include <chrono>
#include <cstddef>

namespace rr {

/// Bounds on the links of one instance.
struct PeerLimits {
  /// Largest message on the wire, in bytes.
  std::size_t MaxMessageBytes = std::size_t{1} << 20;
  /// Bytes that wait for one link, and for all links together.
  std::size_t MaxLinkQueueBytes = std::size_t{2} << 20;
  std::size_t MaxTotalQueueBytes = std::size_t{24} << 20;
  /// Calls made, and calls being answered, on one link.
  std::size_t MaxOpenCalls = 4096;
  /// Links that other instances opened, authenticated or not.
  std::size_t MaxInboundLinks = 512;
  std::size_t MaxUnauthenticatedLinks = 128;

  Clock::duration ConnectTimeout = std::chrono::seconds(2);
  /// From the TCP connection to the end of the handshake.
  Clock::duration HandshakeTimeout = std::chrono::seconds(3);
  Clock::duration HeartbeatInterval = std::chrono::seconds(1);
  /// A link is dead when nothing was received, or a started write made no
  /// progress, for this time.
  Clock::duration SilenceTimeout = std::chrono::seconds(3);
  Clock::duration InitialBackOff = std::chrono::milliseconds(50);
  /// Keeps a refused connection, which is evidence of an ended process,
  /// younger than the freshness bound of 3 s.
  Clock::duration MaxBackOff = std::chrono::seconds(1);
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEERLIMITS_H
