#ifndef REDWINGRACK_PLANS_PLANSERVICES_H
#define REDWINGRACK_PLANS_PLANSERVICES_H

#include "base/Clock.h"
#include "base/Outcome.h"
#include "plans/BarrierReport.h"
#include "plans/ControlChange.h"
#include "plans/RegionLoad.h"
#include "plans/VersionReport.h"
#include "plans/WorkspaceLoad.h"
#include "platform/RowWrite.h"
#include "rollout/VersionStop.h"
#include "rollout/WallTime.h"

#include <asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rr {

/// What plans need of the rest of an instance.
struct PlanServices {
  /// The copy in memory; may lag behind the store.
  std::function<std::shared_ptr<const FleetConfig>()> CurrentConfig;
  /// An earlier configuration; Errc::NotFound when it is no longer kept.
  std::function<asio::awaitable<Outcome<FleetConfig>>(std::uint64_t Version)>
      ConfigAt;
  /// Commits a change. Errc::Conflict when the configuration has another
  /// version or a condition of Extra does not hold, Errc::Unavailable when it
  /// certainly had no effect, Errc::Unknown when the store cannot tell.
  std::function<asio::awaitable<Outcome<ControlMark>>(ControlChange Change)>
      Commit;
  /// Waits until the change is in force everywhere, at most \p AtMost; zero
  /// asks for the state now.
  std::function<asio::awaitable<BarrierReport>(ControlMark Mark,
                                               Clock::duration AtMost)>
      AwaitBarrier;
  /// Check to add to every write of the lease holder; empty when this instance
  /// does not hold the lease.
  std::function<std::optional<RowWrite>()> FenceCheck;
  std::function<std::vector<RegionLoad>()> RegionLoads;
  std::function<std::vector<WorkspaceLoad>()> WorkspaceLoads;
  /// Free share of the servers of a version, 0 to 1; empty when unknown.
  std::function<std::optional<double>(std::string Service, std::string Version)>
      VersionHeadroom;
  std::function<std::vector<VersionReport>(std::string Service)> VersionReports;
  /// Stop of a plan's version by any instance, from
  /// VersionGuard::stopForPlan().
  std::function<std::optional<VersionStop>(std::string Plan)> StopOf;
  /// Requests that run on a server; empty when its owner does not report.
  std::function<std::optional<std::uint64_t>(std::string Server)> Outstanding;
  /// Time of day. Other times are read from rr::Clock.
  std::function<WallTime()> WallNow;
  /// Name of this instance, for the history of plans.
  std::string Self;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANSERVICES_H
