#ifndef REDWINGRACK_PLANS_PLANVIEW_H
#define REDWINGRACK_PLANS_PLANVIEW_H

#include "plans/BarrierReport.h"
#include "rollout/WallTime.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rr {

struct FleetConfig;

/// What the next move of a plan depends on.
struct PlanView {
  /// At least as new as the plan's last step.
  const FleetConfig &Config;
  WallTime Now;
  /// Of the plan's last step.
  BarrierReport Barrier;
  /// Free share of the region or version that gets more traffic; empty when
  /// it is not known.
  std::optional<double> Headroom = std::nullopt;
  /// The headroom has been enough for long enough to go on after a pause.
  bool HeadroomHeld = false;
  /// Requests that run on the server to be drained.
  std::optional<std::uint64_t> Outstanding = std::nullopt;
  /// Evidence against the version that is rolled out.
  std::optional<std::string> Bad = std::nullopt;
  /// Requests that this version got in the current stage.
  std::uint64_t StageRequests = 0;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANVIEW_H
