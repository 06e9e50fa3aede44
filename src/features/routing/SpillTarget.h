#ifndef REDWINGRACK_ROUTING_SPILLTARGET_H
#define REDWINGRACK_ROUTING_SPILLTARGET_H

#include <chrono>
#include <string>

namespace rr {

/// Another region and the time to get there and back.
struct SpillTarget {
  std::string Region;
  std::chrono::nanoseconds RoundTrip{0};
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_SPILLTARGET_H
