#ifndef REDWINGRACK_ROUTING_SPILLSUPPLY_H
#define REDWINGRACK_ROUTING_SPILLSUPPLY_H

#include "base/Clock.h"

#include <string>

namespace rr {

/// What a region can take of one service, as a relay sees it.
struct SpillSupply {
  std::string Service;
  /// Requests per second that fit into the free slots of the region.
  double FreePerSecond = 0;
  /// Requests per second from other regions that run now; they are not part
  /// of FreePerSecond.
  double SpilledPerSecond = 0;
  /// Age of the oldest report in it.
  Clock::duration Age{0};
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_SPILLSUPPLY_H
