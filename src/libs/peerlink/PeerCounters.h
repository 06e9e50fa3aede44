#ifndef REDWINGRACK_PEERLINK_PEERCOUNTERS_H
#define REDWINGRACK_PEERLINK_PEERCOUNTERS_H

#include <cstdint>

namespace rr {

/// Totals since the start of the process.
struct PeerCounters {
  std::uint64_t LinksUp = 0;
  std::uint64_t LinksDown = 0;
  std::uint64_t MessagesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  /// Messages and calls that were not taken because a queue was full.
  std::uint64_t RefusedSends = 0;
  /// Connections dropped for input outside the protocol.
  std::uint64_t MalformedPeers = 0;
  std::uint64_t OversizeMessages = 0;
  std::uint64_t WrongSecrets = 0;
  std::uint64_t ProtocolMismatches = 0;
  std::uint64_t WrongNames = 0;
  /// Links dropped after silence or a write without progress.
  std::uint64_t SilentLinks = 0;
  std::uint64_t HandshakeTimeouts = 0;
  std::uint64_t DuplicateLinks = 0;
  /// Connections closed because too many were open.
  std::uint64_t RefusedLinks = 0;
  std::uint64_t ConnectsRefused = 0;
  std::uint64_t ConnectsFailed = 0;
  /// Messages and calls for which no handler is registered.
  std::uint64_t UnknownMethods = 0;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEERCOUNTERS_H
