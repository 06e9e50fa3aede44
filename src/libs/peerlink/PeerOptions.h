#ifndef REDWINGRACK_PEERLINK_PEEROPTIONS_H
#define REDWINGRACK_PEERLINK_PEEROPTIONS_H

#include "peerlink/PeerLimits.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rr {

/// Identity and settings of a PeerNode.
struct PeerOptions {
  static constexpr std::uint64_t CurrentProtocol = 1;

  /// Unique in the fleet.
  std::string Name;
  std::string Zone;
  /// Numeric IP address and port, such as 127.0.0.1:0 or [::1]:0. Port 0
  /// selects a free port.
  std::string ListenAddress;
  /// Secret that all instances of the fleet share. Must not be empty.
  std::string SharedSecret;
  std::uint64_t Protocol = CurrentProtocol;
  PeerLimits Limits;
  /// Seed of the back-off jitter. Taken from the operating system when absent.
  std::optional<std::uint64_t> JitterSeed;
};

} // namespace rr

#endif // REDWINGRACK_PEERLINK_PEEROPTIONS_H
