#ifndef REDWINGRACK_PEERLINK_CBORSCAN_H
#define REDWINGRACK_PEERLINK_CBORSCAN_H

#include <string_view>

namespace rr {

/// Whether \p Bytes are exactly one CBOR value of definite length, without
/// tags, with valid UTF-8 and within the bounds on depth and item count. The
/// CBOR parser recurses once per level, so deep input has to be refused before
/// it is parsed.
bool isBoundedCbor(std::string_view Bytes);

} // namespace rr

#endif // REDWINGRACK_PEERLINK_CBORSCAN_H
