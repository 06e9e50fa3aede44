#ifndef REDWINGRACK_PEERLINK_CBORSCAN_H
#define REDWINGRACK_PEERLINK_CBORSCAN_H

#include <string_view>

namespace rr {

/// Whether \p Bytes are exactly one CBOR value of definite length, without
/// tags, with valid UTF-8 and within the limits on nesting depth and item
/// count. The CBOR parser recurses once per nesting level, so deeply nested
/// input must be rejected before it is parsed.
bool isBoundedCbor(std::string_view Bytes);

} // namespace rr

#endif // REDWINGRACK_PEERLINK_CBORSCAN_H
