#ifndef REDWINGRACK_PLANS_MOVETRAFFIC_H
#define REDWINGRACK_PLANS_MOVETRAFFIC_H

#include "plans/DeadlineAction.h"
#include "rollout/WallTime.h"

#include <cstdint>
#include <string>

namespace rr {

/// Intent: serve a share of a workspace's traffic in another region.
struct MoveTraffic {
  std::string Workspace;
  /// Empty for traffic that enters anywhere.
  std::string FromRegion;
  std::string ToRegion;
  /// Share to reach, 0 to 1. 0 ends an earlier move.
  double Share = 0;
  /// Share that is never exceeded, on the way there and back.
  double Cap = 0;
  std::uint32_t Steps = 1;
  WallTime Deadline;
  DeadlineAction AtDeadline = DeadlineAction::TakeBack;
  /// Most that one step of the way back changes.
  double BackCap = 0;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_MOVETRAFFIC_H
