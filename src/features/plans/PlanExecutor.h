#ifndef REDWINGRACK_PLANS_PLANEXECUTOR_H
#define REDWINGRACK_PLANS_PLANEXECUTOR_H

#include "base/OneShotEvent.h"
#include "plans/PlanMove.h"
#include "plans/PlanStore.h"
#include "plans/PlanView.h"
#include "plans/RolloutWatch.h"

#include <map>
#include <memory>
#include <string>

namespace rr {

/// Carries out the active plans while this instance holds the lease. Keeps
/// nothing that the rows do not say, apart from measurements, so that any
/// instance can go on after it.
class PlanExecutor {
public:
  /// The references outlive the object, and the object outlives run().
  PlanExecutor(const asio::any_io_executor &Executor, PlanStore &Plans,
               const PlanServices &Services);

  /// Runs until stop().
  asio::awaitable<void> run();
  void stop() { this->Stopped.set(); }

  /// Looks once at each active plan and makes at most one move of each.
  asio::awaitable<void> advanceAll();

  /// What the plan waits for, for example the instances that have not
  /// confirmed its last step; empty when this instance does not run it.
  std::string waitingFor(const std::string &Id) const;

private:
  struct Watch {
    std::unique_ptr<RolloutWatch> Rollout;
    /// Since when the headroom has been enough.
    std::optional<Clock::time_point> HeadroomSince;
    std::string Waiting;
  };

  asio::awaitable<void> advance(std::string Id);
  asio::awaitable<void> carryOut(PlanRecord From, PlanMove Move,
                                 std::shared_ptr<const FleetConfig> Config);
  PlanView viewOf(const Plan &Current, const FleetConfig &Config,
                  BarrierReport Barrier, Watch &Own);
  std::optional<double> headroomOf(const Plan &Current) const;
  void watchRollout(const Plan &Current, const FleetConfig &Config, Watch &Own,
                    PlanView &View);

  PlanStore &Plans;
  const PlanServices &Services;
  OneShotEvent Stopped;
  std::map<std::string, Watch> Watches;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_PLANEXECUTOR_H
