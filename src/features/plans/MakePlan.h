#ifndef REDWINGRACK_PLANS_MAKEPLAN_H
#define REDWINGRACK_PLANS_MAKEPLAN_H

#include "base/Outcome.h"
#include "plans/Plan.h"
#include "plans/PlanInputs.h"

#include <string>
#include <vector>

namespace rr {

/// Works out what an intent means. Changes nothing. On failure \p Problems has
/// a line for each reason why the intent cannot be carried out.
Outcome<Plan> makePlan(const Intent &Wish, const PlanInputs &Inputs,
                       std::vector<std::string> &Problems);

} // namespace rr

#endif // REDWINGRACK_PLANS_MAKEPLAN_H
