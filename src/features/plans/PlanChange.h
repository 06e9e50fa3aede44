#ifndef REDWINGRACK_PLANS_PLANCHANGE_H
#define REDWINGRACK_PLANS_PLANCHANGE_H

#include "plans/ControlChange.h"
#include "plans/PlanRecord.h"

#include <optional>
#include <string>

namespace rr {

/// One change of a plan's row, together with what it changes elsewhere.
struct PlanChange {
  PlanRecord From;
  Plan Next;
  std::string By;
  std::string Reason;
  /// Check of the lease; empty for changes by operators.
  std::optional<RowWrite> Fence;
  /// Change of control state in the same transaction.
  std::optional<ControlChange> Control;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANCHANGE_H
