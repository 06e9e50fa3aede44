#ifndef REDWINGRACK_PEERLINK_PEERCOUNTERS_H
#define REDWINGRACK_PEERLINK_PEERCOUNTERS_H

#include <cstdint>

namespace rr {

/// Totals since the node was created.
struct PeerCounters {
  std::uint64_t LinksUp = 0;
  std::uint64_t LinksDown = 0;
  std::uint64_t MessagesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  /// Messages and calls refused because a queue or the limit on open calls was
  /// reached.
  std::uint64_t RefusedSends = 0;
  /// Connections closed because of a protocol violation.
  std::uint64_t MalformedPeers = 0;
  std::uint64_t OversizeMessages = 0;
  std::uint64_t WrongSecrets = 0;
  std::uint64_t ProtocolMismatches = 0;
  std::uint64_t WrongNames = 0;
  /// Links closed because nothing was received, or a write did not finish,
  /// within the silence timeout.
  std::uint64_t SilentLinks = 0;
  std::uint64_t HandshakeTimeouts = 0;
  std::uint64_t DuplicateLinks = 0;
  /// Inbound connections closed because too many were open.
  std::uint64_t RefusedLinks = 0;
  std::uint64_t ConnectsRefused = 0;
  std::uint64_t ConnectsFailed = 0;
  /// Messages and calls received without a registered handler.
  std::uint64_t UnknownMethods = 0;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEERCOUNTERS_H
