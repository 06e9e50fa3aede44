#ifndef REDWINGRACK_PLANS_PLANSTATE_H
#define REDWINGRACK_PLANS_PLANSTATE_H

#include <optional>
#include <string>

namespace rr {

enum class PlanState {
  Proposed,
  Confirmed,
  Running,
  Paused,
  Finished,
  TakenBack,
  Stopped,
  Refused,
};

const char *nameOf(PlanState State);
std::optional<PlanState> planStateOf(const std::string &Name);

/// Whether the plan will never change again.
bool isEnded(PlanState State);
/// Whether the plan was confirmed and has not ended.
bool isActive(PlanState State);

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANSTATE_H
