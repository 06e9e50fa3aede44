#ifndef REDWINGRACK_PLANS_PLANMOVE_H
#define REDWINGRACK_PLANS_PLANMOVE_H

#include "plans/PlanState.h"

#include <string>

namespace rr {

/// What a plan does next.
struct PlanMove {
  enum class Kind { Wait, Step, Pause, Resume, End };

  Kind Action = Kind::Wait;
  /// Of a step.
  double Share = 0;
  /// The step is the first one of the way back.
  bool TurnsBack = false;
  bool AtOnce = false;
  /// Of an end.
  PlanState Ended = PlanState::Finished;
  /// Why; for an end, the plan's one sentence of outcome.
  std::string Reason;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANMOVE_H
