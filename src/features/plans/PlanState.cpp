#include "plans/PlanState.h"

#include <array>
#include <utility>

namespace rr {

namespace {

constexpr std::array<std::pair<PlanState, const char *>, 8> Names{{
    {PlanState::Proposed, "proposed"},
    {PlanState::Confirmed, "confirmed"},
    {PlanState::Running, "running"},
    {PlanState::Paused, "paused"},
    {PlanState::Finished, "finished"},
    {PlanState::TakenBack, "taken_back"},
    {PlanState::Stopped, "stopped"},
    {PlanState::Refused, "refused"},
}};

} // namespace

const char *nameOf(PlanState State) {
  for (const auto &[Value, Name] : Names)
    if (Value == State)
      return Name;
  return "";
}

std::optional<PlanState> planStateOf(const std::string &Name) {
  for (const auto &[Value, Text] : Names)
    if (Name == Text)
      return Value;
  return std::nullopt;
}

bool isActive(PlanState State) {
  return State == PlanState::Confirmed || State == PlanState::Running ||
         State == PlanState::Paused;
}

bool isEnded(PlanState State) {
  return State != PlanState::Proposed && !isActive(State);
}

} // namespace rr
