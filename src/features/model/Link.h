#ifndef REDWINGRACK_MODEL_LINK_H
#define REDWINGRACK_MODEL_LINK_H

#include <chrono>
#include <cstdint>
#include <string>

namespace rr {

/// One direction of the network connection between two regions.
struct Link {
  std::string From;
  std::string To;
  std::uint64_t BitsPerSecond = 0;
  /// One-way latency.
  std::chrono::microseconds Latency{0};
};

} // namespace rr

#endif // REDWINGRACK_MODEL_LINK_H
