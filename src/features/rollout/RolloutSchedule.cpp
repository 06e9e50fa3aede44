#include "rollout/RolloutSchedule.h"

#include <algorithm>

namespace rr {

namespace {

using namespace std::chrono_literals;

// The small shares get most of the time, because a fault found there costs
// least.
constexpr std::array<double, RolloutSchedule::StageCount - 1> Weights{
    0.35, 0.3, 0.2, 0.15};
// A fault shows within 5 s and the statistics arrive a heartbeat later.
constexpr std::chrono::seconds LeastStageTime{10};
// Barrier of a step: propagation, or F + 1 s for an instance without proof.
constexpr std::chrono::seconds StepOverhead{5};
// Kept back for stages that lack requests at their planned end.
constexpr double ReserveShare = 0.15;
constexpr double SoakShare = 0.15;
constexpr std::chrono::seconds LeastSoak{30};
constexpr std::chrono::seconds MostSoak{600};

} // namespace

RolloutSchedule::RolloutSchedule(WallTime Deadline, std::chrono::seconds Soak)
    : Deadline(Deadline), Soak(Soak) {}

std::chrono::milliseconds RolloutSchedule::stageTime(std::size_t Stage,
                                                     WallTime Begin) const {
  const auto StepsLeft = static_cast<int>(StageCount - Stage);
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->Deadline - Begin - this->Soak - StepOverhead * StepsLeft);
  double WeightsLeft = 0;
  for (std::size_t I = Stage; I < Weights.size(); ++I)
    WeightsLeft += Weights[I];
  const auto Time = std::chrono::milliseconds(static_cast<std::int64_t>(
      static_cast<double>(Left.count()) * Weights[Stage] / WeightsLeft));
  return std::max<std::chrono::milliseconds>(Time, LeastStageTime);
}

WallTime RolloutSchedule::latestEnd(std::size_t Stage, WallTime Begin) const {
  if (Stage + 1 < StageCount)
    return Begin + this->stageTime(Stage, Begin);
  // At the last stage the traffic has moved. A late rollout ends its soak at
  // the deadline in place of missing it.
  const WallTime Full = Begin + this->Soak;
  const WallTime Cut =
      std::max<WallTime>(this->Deadline - StepOverhead, Begin + LeastStageTime);
  return std::min(Full, Cut);
}

WallTime RolloutSchedule::plannedEnd(std::size_t Stage, WallTime Begin) const {
  if (Stage + 1 == StageCount)
    return this->latestEnd(Stage, Begin);
  const auto Time = this->stageTime(Stage, Begin);
  const auto Planned = std::chrono::milliseconds(static_cast<std::int64_t>(
      static_cast<double>(Time.count()) * (1 - ReserveShare)));
  return Begin + std::max<std::chrono::milliseconds>(Planned, LeastStageTime);
}

bool RolloutSchedule::mayAdvance(std::size_t Stage, WallTime Begin,
                                 std::uint64_t Requests, WallTime Now) const {
  if (Now >= this->latestEnd(Stage, Begin))
    return true;
  return Requests >= LeastRequests && Now >= this->plannedEnd(Stage, Begin);
}

std::chrono::seconds RolloutSchedule::minDuration(std::chrono::seconds Soak) {
  const auto Stages = static_cast<int>(StageCount);
  return LeastStageTime * (Stages - 1) + StepOverhead * Stages + Soak;
}

std::chrono::seconds RolloutSchedule::defaultSoak(std::chrono::seconds Whole) {
  const auto Part = std::chrono::seconds(static_cast<std::int64_t>(
      static_cast<double>(Whole.count()) * SoakShare));
  return std::clamp(Part, LeastSoak, MostSoak);
}

} // namespace rr
