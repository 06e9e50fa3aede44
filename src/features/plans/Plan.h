#ifndef REDWINGRACK_PLANS_PLAN_H
#define REDWINGRACK_PLANS_PLAN_H

#include "plans/ControlMark.h"
#include "plans/Intent.h"
#include "plans/PlanStep.h"
#include "plans/RegionForecast.h"
#include "plans/StateChange.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rr {

/// The answer to an intent, and how far it has come.
struct Plan {
  std::string Id;
  Intent Wish;
  /// Configuration version that the plan was made from.
  std::uint64_t BaseVersion = 0;
  /// What will change, for operators, and for which workspaces.
  std::vector<std::string> Changes;
  std::vector<std::string> Workspaces;
  std::vector<RegionForecast> Regions;
  /// Limits that hold while the plan runs.
  std::vector<std::string> Caps;
  std::vector<PlanStep> Steps;
  std::string WayBack;
  /// What no other plan may work on meanwhile, for example `server/s1`.
  std::vector<std::string> Targets;

  PlanState State = PlanState::Proposed;
  std::vector<StateChange> History;
  std::size_t StepsDone = 0;
  /// Share before the first step, and now.
  double StartShare = 0;
  double Share = 0;
  bool TakingBack = false;
  /// The way back is one step, because the version is bad.
  bool BackAtOnce = false;
  /// Why the plan is taken back.
  std::string BackReason;
  /// Time of the last step, or of the confirmation.
  WallTime LastStepAt;
  /// Change of control state that the last step made.
  ControlMark Applied;
  /// One sentence, once the plan has ended.
  std::string Result;
};

/// Whether the whole change is part of the confirmation, so that the executor
/// has no step to make.
bool isImmediate(const Intent &Wish);

} // namespace rr

#endif // REDWINGRACK_PLANS_PLAN_H
