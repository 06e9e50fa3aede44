#ifndef REDWINGRACK_PEERLINK_LINKENDREASON_H
#define REDWINGRACK_PEERLINK_LINKENDREASON_H

#include <cstdint>

namespace rr {

/// Why a link between two instances was closed.
enum class LinkEndReason : std::uint8_t {
  /// The connection was closed or reset without a reason.
  Lost,
  /// Nothing was received, or nothing could be sent, for the silence timeout.
  Silent,
  HandshakeTimeout,
  Malformed,
  Oversize,
  WrongSecret,
  ProtocolMismatch,
  /// The address belongs to an instance of another name.
  WrongName,
  /// Another link between the same two instances is in use.
  Duplicate,
  /// One of the instances stopped or disconnected from the other.
  Stopped,
};

/// Stable name for logs and metrics.
const char *linkEndReasonName(LinkEndReason Reason);

/// Conversion from and to the WebSocket close code. Unknown codes map to
/// LinkEndReason::Lost.
std::uint16_t closeCodeOf(LinkEndReason Reason);
LinkEndReason linkEndReasonOf(std::uint16_t CloseCode);

} // namespace rr

#endif // REDWINGRACK_PEERLINK_LINKENDREASON_H
