#ifndef REDWINGRACK_ROUTING_VERSIONUSE_H
#define REDWINGRACK_ROUTING_VERSIONUSE_H

#include <chrono>
#include <cstdint>

namespace rr {

/// Exact use of the owned servers of one version.
struct VersionUse {
  std::uint32_t Outstanding = 0;
  /// Effective slots.
  std::uint32_t Slots = 0;
  /// Average answer time, or an assumed one before the first answer.
  std::chrono::nanoseconds Latency{0};
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_VERSIONUSE_H
