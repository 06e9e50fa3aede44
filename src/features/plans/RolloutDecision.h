#ifndef REDWINGRACK_PLANS_ROLLOUTDECISION_H
#define REDWINGRACK_PLANS_ROLLOUTDECISION_H

#include "plans/PlanMove.h"
#include "plans/PlanView.h"

namespace rr {

struct Plan;

/// The next move of a rollout that is not being taken back.
PlanMove decideRollout(const Plan &Current, const PlanView &View);

} // namespace rr

#endif // REDWINGRACK_PLANS_ROLLOUTDECISION_H
