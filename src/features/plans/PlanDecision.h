#ifndef REDWINGRACK_PLANS_PLANDECISION_H
#define REDWINGRACK_PLANS_PLANDECISION_H

#include "plans/PlanMove.h"
#include "plans/PlanView.h"

namespace rr {

struct Plan;

/// Headroom below which a plan sends no more traffic to its target.
inline constexpr double LeastHeadroom = 0.2;

/// The next move of an active plan. Depends on the plan's row and the view
/// only, so that a new lease holder goes on where the former one ended.
PlanMove decide(const Plan &Current, const PlanView &View);

/// Moves that several kinds of plans share.
PlanMove waitFor(std::string Reason);
PlanMove endWith(PlanState State, std::string Outcome);
/// First step of the way back.
PlanMove turnBack(const Plan &Current, std::string Reason);
/// Pause, resume or wait while the headroom is short; Step when it is enough.
PlanMove checkHeadroom(const Plan &Current, const PlanView &View,
                       const std::string &Target);

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANDECISION_H
