#ifndef REDWINGRACK_PLANS_PLANSTEP_H
#define REDWINGRACK_PLANS_PLANSTEP_H

#include <chrono>
#include <string>

namespace rr {

/// One capped change of a plan.
struct PlanStep {
  /// Least time since the step before, or since the confirmation.
  std::chrono::milliseconds After{0};
  /// Share of the traffic that is moved once the step is in force.
  double Share = 0;
  std::string Text;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANSTEP_H
