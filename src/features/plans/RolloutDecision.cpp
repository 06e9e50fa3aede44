#include "plans/RolloutDecision.h"

#include "model/FleetConfig.h"
#include "plans/Plan.h"
#include "plans/PlanDecision.h"
#include "plans/PlanEdits.h"
#include "plans/PlanText.h"
#include "rollout/RolloutSchedule.h"

#include <cmath>

namespace rr {

namespace {

constexpr double SameShare = 1e-9;

PlanMove bad(const Plan &Current, const std::string &Evidence) {
  PlanMove Result = turnBack(Current, "the version is bad, " + Evidence);
  Result.Share = Current.StartShare;
  Result.AtOnce = true;
  return Result;
}

PlanMove atDeadline(const Plan &Current, const RollOutVersion &Wish) {
  if (Wish.AtDeadline == DeadlineAction::TakeBack)
    return turnBack(Current, "the deadline has passed");
  return endWith(PlanState::Stopped, "Stopped at the deadline: version " +
                                         Wish.Version + " of " + Wish.Service +
                                         " stays at " +
                                         formatPercent(Current.Share) + ".");
}

} // namespace

PlanMove decideRollout(const Plan &Current, const PlanView &View) {
  const auto &Wish = std::get<RollOutVersion>(Current.Wish);
  const std::size_t Done = Current.StepsDone;
  if (std::abs(shareIn(View.Config, Current) - Current.Share) > SameShare)
    return endWith(PlanState::Stopped,
                   "Stopped: another change of the configuration replaced the "
                   "version split of " +
                       Wish.Service + ".");
  if (Done > 0 && View.Bad)
    return bad(Current, *View.Bad);
  const bool AllDone = Done >= Current.Steps.size();
  if (!AllDone && View.Now >= Wish.Deadline)
    return atDeadline(Current, Wish);
  if (!View.Barrier.Passed)
    return waitFor("waits for " + joinNames(View.Barrier.Missing));
  const RolloutSchedule Schedule(Wish.Deadline,
                                 soakOf(Wish, Current.History.front().At));
  if (Done > 0 && !Schedule.mayAdvance(Done - 1, Current.LastStepAt,
                                       View.StageRequests, View.Now))
    return waitFor("the stage is not over");
  if (AllDone)
    return endWith(PlanState::Finished,
                   "Finished at " + formatWallTime(View.Now) + ": service " +
                       Wish.Service + " runs version " + Wish.Version + ".");
  const PlanMove Check =
      checkHeadroom(Current, View, "version " + Wish.Version);
  // A version whose servers report no headroom is judged by its answers.
  if (View.Headroom && Check.Action != PlanMove::Kind::Step)
    return Check;
  PlanMove Result = Check;
  Result.Action = PlanMove::Kind::Step;
  Result.Share = Current.Steps[Done].Share;
  Result.Reason = Current.Steps[Done].Text;
  return Result;
}

} // namespace rr
