#ifndef REDWINGRACK_HISTORY_WORKSPACELIMITS_H
#define REDWINGRACK_HISTORY_WORKSPACELIMITS_H

#include "base/Clock.h"

#include <string>

namespace rr::history {

/// Rate and burst of a workspace were set or changed.
struct WorkspaceLimits {
  /// As for ShiftCap. The first limits count from the start of the history.
  Clock::time_point At;
  Clock::time_point InForce;
  std::string Workspace;
  /// Requests per second.
  double Rate = 0;
  /// Requests.
  double Burst = 0;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_WORKSPACELIMITS_H
