#ifndef REDWINGRACK_PEERLINK_PEERIDENTITY_H
#define REDWINGRACK_PEERLINK_PEERIDENTITY_H

#include <string>

namespace rr {

/// Who an instance is, as proved by the handshake.
struct PeerIdentity {
  std::string Name;
  std::string Zone;
  /// Random token of one start of the process.
  std::string Incarnation;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEERIDENTITY_H
