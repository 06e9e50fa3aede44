#ifndef REDWINGRACK_HISTORY_ROLLOUTSTAGE_H
#define REDWINGRACK_HISTORY_ROLLOUTSTAGE_H

#include "base/Clock.h"

#include <string>

namespace rr::history {

/// A rollout of a version reached a stage.
struct RolloutStage {
  /// As for ShiftCap.
  Clock::time_point At;
  Clock::time_point InForce;
  std::string Service;
  std::string Version;
  /// Largest share of the service's requests for the version, 0 to 1.
  double Cap = 0;
  /// True when the version is no longer new and nothing bounds its share.
  bool Over = false;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_ROLLOUTSTAGE_H
