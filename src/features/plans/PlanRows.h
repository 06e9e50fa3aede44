#ifndef REDWINGRACK_PLANS_PLANROWS_H
#define REDWINGRACK_PLANS_PLANROWS_H

#include "base/Outcome.h"
#include "plans/PlanChange.h"
#include "platform/Transaction.h"
#include "rollout/WallTime.h"

#include <string>

namespace rr {

/// Rows `plan_targets/<target>` name the active plan of a target; a plan has
/// them from its confirmation to its end. They keep two plans from working on
/// one thing and list the active plans without a scan of all plans.
inline constexpr const char *TargetPrefix = "plan_targets/";

std::string planKey(const std::string &Id);

/// Sorts by the time of its making.
std::string newPlanId(WallTime Now);

/// Unused key `audit/<n>`; n sorts by time.
std::string newAuditKey(WallTime Now);

/// Name of the object that keeps the text of a LoadDocument.
std::string documentName(const std::string &Hash);

/// The writes of a change. \p Mark holds the versions of control state that
/// the transaction creates.
Transaction planWrites(const PlanChange &Change, const ControlMark &Mark,
                       const std::string &AuditKey, WallTime Now);

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANROWS_H
