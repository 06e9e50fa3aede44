#include "plans/PlanDecision.h"

#include "model/FleetConfig.h"
#include "plans/Plan.h"
#include "plans/PlanEdits.h"
#include "plans/PlanText.h"
#include "plans/RolloutDecision.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rr {

namespace {

constexpr double SameShare = 1e-9;
// Largest step of the way back of a version that is not bad.
constexpr double RolloutBackCap = 0.25;

double backCap(const Plan &Current) {
  if (const auto *Wish = std::get_if<MoveTraffic>(&Current.Wish))
    return Wish->BackCap;
  if (std::holds_alternative<RollOutVersion>(Current.Wish))
    return Current.BackAtOnce ? 1 : RolloutBackCap;
  return 1;
}

double nextShareBack(const Plan &Current, double Cap) {
  const double Left = Current.StartShare - Current.Share;
  return std::abs(Left) <= Cap ? Current.StartShare
                               : Current.Share + std::copysign(Cap, Left);
}

std::string what(const Plan &Current) {
  return Current.Changes.empty() ? "the change" : Current.Changes.front();
}

std::string elapsed(const Plan &Current, WallTime Now) {
  for (const StateChange &Item : Current.History)
    if (Item.Reason == "confirmed")
      return formatSeconds(Now - Item.At);
  return formatSeconds(Now - Current.LastStepAt);
}

std::string missing(const PlanView &View) {
  return "waits for " + joinNames(View.Barrier.Missing);
}

// Somebody else has written what the plan moves; going on would undo it.
bool wasOverwritten(const Plan &Current, const PlanView &View) {
  return std::abs(shareIn(View.Config, Current) - Current.Share) > SameShare;
}

PlanMove endOverwritten(const Plan &Current) {
  return endWith(PlanState::Stopped,
                 "Stopped: another change of the configuration replaced what "
                 "this plan had set (" +
                     what(Current) + ").");
}

PlanMove step(double Share, std::string Reason) {
  PlanMove Result;
  Result.Action = PlanMove::Kind::Step;
  Result.Share = Share;
  Result.Reason = std::move(Reason);
  return Result;
}

PlanMove decideBack(const Plan &Current, const PlanView &View) {
  if (wasOverwritten(Current, View))
    return endOverwritten(Current);
  const bool Done = std::abs(Current.Share - Current.StartShare) < SameShare;
  if (!Done && Current.BackAtOnce)
    return step(Current.StartShare, "taken back at once");
  if (!View.Barrier.Passed)
    return waitFor(missing(View));
  if (Done)
    return endWith(PlanState::TakenBack,
                   "Taken back after " + elapsed(Current, View.Now) + " (" +
                       what(Current) + "): " + Current.BackReason + ".");
  return step(nextShareBack(Current, backCap(Current)), "step back");
}

PlanMove endAtDeadline(const Plan &Current, const MoveTraffic &Wish,
                       const PlanView &View) {
  if (Wish.AtDeadline == DeadlineAction::Stop)
    return endWith(PlanState::Stopped,
                   "Stopped at the deadline: " + formatPercent(Current.Share) +
                       " of " + Wish.Workspace + " is served in " +
                       Wish.ToRegion + ", of " + formatPercent(Wish.Share) +
                       " wanted.");
  return turnBack(Current, "the deadline has passed");
}

PlanMove decideMove(const Plan &Current, const MoveTraffic &Wish,
                    const PlanView &View) {
  const bool AllDone = Current.StepsDone >= Current.Steps.size();
  if (wasOverwritten(Current, View))
    return endOverwritten(Current);
  if (!AllDone && View.Now >= Wish.Deadline)
    return endAtDeadline(Current, Wish, View);
  if (!View.Barrier.Passed)
    return waitFor(missing(View));
  if (AllDone)
    return endWith(PlanState::Finished,
                   "Finished after " + elapsed(Current, View.Now) + ": " +
                       formatPercent(Current.Share) + " of " + Wish.Workspace +
                       " is served in " + Wish.ToRegion + ".");
  const PlanStep &Next = Current.Steps[Current.StepsDone];
  if (Next.Share > Current.Share) {
    const PlanMove Check = checkHeadroom(Current, View, Wish.ToRegion);
    if (Check.Action != PlanMove::Kind::Step)
      return Check;
  }
  if (View.Now < Current.LastStepAt + Next.After)
    return waitFor("the next step is not due");
  return step(Next.Share, Next.Text);
}

PlanMove decideDrain(const Plan &Current, const DrainServer &Wish,
                     const PlanView &View) {
  if (wasOverwritten(Current, View))
    return endOverwritten(Current);
  const bool Empty = View.Outstanding && *View.Outstanding == 0;
  if (View.Barrier.Passed && Empty)
    return endWith(PlanState::Finished, "Server " + Wish.Server +
                                            " is empty after " +
                                            elapsed(Current, View.Now) + ".");
  std::string Why = "no owner reports what runs on it";
  if (!View.Barrier.Passed)
    Why = "not confirmed by " + joinNames(View.Barrier.Missing);
  else if (View.Outstanding)
    Why = std::to_string(*View.Outstanding) + " requests still run on it";
  if (View.Now < Current.LastStepAt + Wish.Longest)
    return waitFor(Why);
  return endWith(PlanState::Stopped, "Server " + Wish.Server +
                                         " is not empty after " +
                                         formatSeconds(Wish.Longest) + ": " +
                                         Why + "; it gets no new work.");
}

PlanMove decideImmediate(const Plan &Current, const PlanView &View) {
  if (!View.Barrier.Passed)
    return waitFor(missing(View));
  return endWith(PlanState::Finished, "In force everywhere after " +
                                          elapsed(Current, View.Now) + ": " +
                                          what(Current) + ".");
}

} // namespace

PlanMove waitFor(std::string Reason) {
  PlanMove Result;
  Result.Reason = std::move(Reason);
  return Result;
}

PlanMove endWith(PlanState State, std::string Outcome) {
  PlanMove Result;
  Result.Action = PlanMove::Kind::End;
  Result.Ended = State;
  Result.Reason = std::move(Outcome);
  return Result;
}

PlanMove turnBack(const Plan &Current, std::string Reason) {
  PlanMove Result =
      step(nextShareBack(Current, backCap(Current)), std::move(Reason));
  Result.TurnsBack = true;
  return Result;
}

PlanMove checkHeadroom(const Plan &Current, const PlanView &View,
                       const std::string &Target) {
  PlanMove Result = step(0, "");
  const bool Short = !View.Headroom || *View.Headroom < LeastHeadroom;
  if (Current.State == PlanState::Paused) {
    Result.Action = Short || !View.HeadroomHeld ? PlanMove::Kind::Wait
                                                : PlanMove::Kind::Resume;
    Result.Reason = Target + (Result.Action == PlanMove::Kind::Wait
                                  ? " is short of headroom"
                                  : " has headroom again");
  } else if (Short) {
    Result.Action = PlanMove::Kind::Pause;
    Result.Reason = View.Headroom
                        ? Target + " has " + formatPercent(*View.Headroom) +
                              " headroom, less than " +
                              formatPercent(LeastHeadroom)
                        : "the headroom of " + Target + " is not known";
  }
  return Result;
}

PlanMove decide(const Plan &Current, const PlanView &View) {
  if (Current.TakingBack)
    return decideBack(Current, View);
  if (const auto *Wish = std::get_if<MoveTraffic>(&Current.Wish))
    return decideMove(Current, *Wish, View);
  if (std::holds_alternative<RollOutVersion>(Current.Wish))
    return decideRollout(Current, View);
  if (const auto *Wish = std::get_if<DrainServer>(&Current.Wish))
    if (!Wish->Undo)
      return decideDrain(Current, *Wish, View);
  return decideImmediate(Current, View);
}

} // namespace rr
