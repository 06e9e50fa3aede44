#ifndef REDWINGRACK_PLANS_ROLLOUTVERSION_H
#define REDWINGRACK_PLANS_ROLLOUTVERSION_H

#include "plans/DeadlineAction.h"
#include "rollout/WallTime.h"

#include <chrono>
#include <string>

namespace rr {

/// Intent: move a service to a new version by a time.
struct RollOutVersion {
  std::string Service;
  std::string Version;
  WallTime Deadline;
  DeadlineAction AtDeadline = DeadlineAction::TakeBack;
  /// Time at 100% before the rollout counts as finished; 0 for the default.
  std::chrono::seconds Soak{0};
};

} // namespace rr

#endif // REDWINGRACK_PLANS_ROLLOUTVERSION_H
