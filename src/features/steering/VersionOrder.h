#ifndef REDWINGRACK_STEERING_VERSIONORDER_H
#define REDWINGRACK_STEERING_VERSIONORDER_H

#include "base/Clock.h"

#include <string>

namespace rr {

/// An operator's order to move a service's traffic to a version.
struct VersionOrder {
  std::string Service;
  std::string Target;
  /// Time from the order until the move should be complete.
  Clock::duration Duration{0};
};

} // namespace rr

#endif // REDWINGRACK_STEERING_VERSIONORDER_H
