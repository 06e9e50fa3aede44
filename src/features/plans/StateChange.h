#ifndef REDWINGRACK_PLANS_STATECHANGE_H
#define REDWINGRACK_PLANS_STATECHANGE_H

#include "plans/PlanState.h"
#include "rollout/WallTime.h"

#include <string>

namespace rr {

/// An entry of a plan's history.
struct StateChange {
  PlanState State = PlanState::Proposed;
  WallTime At;
  /// Operator, or the instance that held the lease.
  std::string By;
  std::string Reason;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_STATECHANGE_H
