#ifndef REDWINGRACK_PEERLINK_PEEROPTIONS_H
#define REDWINGRACK_PEERLINK_PEEROPTIONS_H

#include "peerlink/PeerLimits.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rr {

/// Identity and settings of an instance towards its peers.
struct PeerOptions {
  static constexpr std::uint64_t CurrentProtocol = 1;

  /// Unique in the fleet.
  std::string Name;
  std::string Zone;
  /// IP number and port, as 127.0.0.1:0 or [::1]:0; port 0 lets the system
  /// choose.
  std::string ListenAddress;
  /// Known to all instances and to nobody else; must not be empty.
  std::string SharedSecret;
  std::uint64_t Protocol = CurrentProtocol;
  PeerLimits Limits;
  /// Seed of the back-off jitter; from the operating system when absent.
  std::optional<std::uint64_t> JitterSeed;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEEROPTIONS_H
