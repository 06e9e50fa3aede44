#include "rollout/RolloutSchedule.h"

#include <algorithm>

namespace rr {

namespace {

using namespace std::chrono_literals;

// The stages with small shares get most of the time, because a fault found
// there affects the fewest requests.
constexpr std::array<double, RolloutSchedule::StageCount - 1> Weights{
    0.35, 0.3, 0.2, 0.15};
// A fault is detected within 5 s, and the statistics arrive a heartbeat later.
constexpr std::chrono::seconds MinStageTime{10};
// Barrier of a step: propagation, or FreshnessLimit + 1 s for an instance
// without a freshness proof.
constexpr std::chrono::seconds StepOverhead{5};
// Reserved for stages that lack requests at their planned end.
constexpr double ReserveShare = 0.15;
constexpr double SoakShare = 0.15;
constexpr std::chrono::seconds MinSoak{30};
constexpr std::chrono::seconds MaxSoak{600};

} // namespace

RolloutSchedule::RolloutSchedule(WallTime Deadline, std::chrono::seconds Soak)
    : Deadline(Deadline), Soak(Soak) {}

std::chrono::milliseconds RolloutSchedule::stageDuration(std::size_t Stage,
                                                         WallTime Begin) const {
  const auto StepsLeft = static_cast<int>(StageCount - Stage);
  const auto TimeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->Deadline - Begin - this->Soak - StepOverhead * StepsLeft);
  double RemainingWeight = 0;
  for (std::size_t I = Stage; I < Weights.size(); ++I)
    RemainingWeight += Weights[I];
  const auto Duration = std::chrono::milliseconds(
      static_cast<std::int64_t>(static_cast<double>(TimeLeft.count()) *
                                Weights[Stage] / RemainingWeight));
  return std::max<std::chrono::milliseconds>(Duration, MinStageTime);
}

WallTime RolloutSchedule::latestEnd(std::size_t Stage, WallTime Begin) const {
  if (Stage + 1 < StageCount)
    return Begin + this->stageDuration(Stage, Begin);
  // At the last stage all traffic is on the new version. A late rollout
  // shortens its soak to meet the deadline.
  const WallTime SoakEnd = Begin + this->Soak;
  const WallTime DeadlineEnd =
      std::max<WallTime>(this->Deadline - StepOverhead, Begin + MinStageTime);
  return std::min(SoakEnd, DeadlineEnd);
}

WallTime RolloutSchedule::plannedEnd(std::size_t Stage, WallTime Begin) const {
  if (Stage + 1 == StageCount)
    return this->latestEnd(Stage, Begin);
  const auto Duration = this->stageDuration(Stage, Begin);
  const auto Planned = std::chrono::milliseconds(static_cast<std::int64_t>(
      static_cast<double>(Duration.count()) * (1 - ReserveShare)));
  return Begin + std::max<std::chrono::milliseconds>(Planned, MinStageTime);
}

bool RolloutSchedule::mayAdvance(std::size_t Stage, WallTime Begin,
                                 std::uint64_t Requests, WallTime Now) const {
  if (Now >= this->latestEnd(Stage, Begin))
    return true;
  return Requests >= MinStageRequests && Now >= this->plannedEnd(Stage, Begin);
}

std::chrono::seconds RolloutSchedule::minDuration(std::chrono::seconds Soak) {
  const auto Stages = static_cast<int>(StageCount);
  return MinStageTime * (Stages - 1) + StepOverhead * Stages + Soak;
}

std::chrono::seconds RolloutSchedule::defaultSoak(std::chrono::seconds Total) {
  const auto SoakTime = std::chrono::seconds(static_cast<std::int64_t>(
      static_cast<double>(Total.count()) * SoakShare));
  return std::clamp(SoakTime, MinSoak, MaxSoak);
}

} // namespace rr
