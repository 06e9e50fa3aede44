#ifndef REDWINGRACK_PEERLINK_LINKENDREASON_H
#define REDWINGRACK_PEERLINK_LINKENDREASON_H

#include <cstdint>

namespace rr {

/// Why a link between two instances ended.
enum class LinkEndReason : std::uint8_t {
  /// The connection was closed or reset without a reason.
  Lost,
  /// Nothing was received, or nothing could be sent, for the silence limit.
  Silent,
  HandshakeTimeout,
  Malformed,
  Oversize,
  WrongSecret,
  ProtocolMismatch,
  /// Another instance than the expected one answered.
  WrongName,
  /// Another link between the same two instances is used instead.
  Duplicate,
  /// One of the two instances keeps no link any more.
  Stopped,
};

/// Stable text for logs and metrics.
const char *linkEndReasonName(LinkEndReason Reason);

/// WebSocket close code that tells the other end about \p Reason, and back.
std::uint16_t closeCodeOf(LinkEndReason Reason);
LinkEndReason linkEndReasonOf(std::uint16_t CloseCode);

} // namespace rr

#endif // REDWINGRACK_PEERLINK_LINKENDREASON_H
