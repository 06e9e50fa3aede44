#ifndef REDWINGRACK_PEERLINK_PEERIDENTITY_H
#define REDWINGRACK_PEERLINK_PEERIDENTITY_H

#include <string>

namespace rr {

/// Identity of an instance, as verified by the handshake.
struct PeerIdentity {
  std::string Name;
  std::string Zone;
  /// Random token that differs for each start of the process.
  std::string Incarnation;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEERIDENTITY_H
