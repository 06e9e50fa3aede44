#ifndef REDWINGRACK_PEERLINK_PEERLIMITS_H
#define REDWINGRACK_PEERLINK_PEERLIMITS_H

#include "base/Clock.h"

#include <chrono>
#include <cstddef>

namespace rr {

/// Bounds on the links of one instance.
struct PeerLimits {
  /// Largest message on the wire, in bytes.
  std::size_t MessageSize = std::size_t{1} << 20;
  /// Bytes that wait for one link, and for all links together.
  std::size_t LinkQueue = std::size_t{2} << 20;
  std::size_t TotalQueue = std::size_t{24} << 20;
  /// Calls made, and calls being answered, on one link.
  std::size_t OpenCalls = 4096;
  /// Links that other instances opened, authenticated or not.
  std::size_t InboundLinks = 512;
  std::size_t UnauthenticatedLinks = 128;

  Clock::duration ConnectTime = std::chrono::seconds(2);
  /// From the TCP connection to the end of the handshake.
  Clock::duration HandshakeTime = std::chrono::seconds(3);
  Clock::duration HeartbeatPeriod = std::chrono::seconds(1);
  /// A link is dead when nothing was received, or a started write made no
  /// progress, for this time.
  Clock::duration DeadAfter = std::chrono::seconds(3);
  Clock::duration FirstBackOff = std::chrono::milliseconds(50);
  /// Keeps a refused connection, which is evidence of an ended process,
  /// younger than the freshness bound of 3 s.
  Clock::duration LongestBackOff = std::chrono::seconds(1);
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEERLIMITS_H
