#ifndef REDWINGRACK_PLANS_PLANINPUTS_H
#define REDWINGRACK_PLANS_PLANINPUTS_H

#include "plans/RegionLoad.h"
#include "plans/WorkspaceLoad.h"
#include "rollout/WallTime.h"

#include <vector>

namespace rr {

struct FleetConfig;

/// What makePlan() looks at.
struct PlanInputs {
  const FleetConfig &Config;
  std::vector<RegionLoad> Regions;
  std::vector<WorkspaceLoad> Workspaces;
  WallTime Now;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANINPUTS_H
