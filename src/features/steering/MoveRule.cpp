#include "steering/MoveRule.h"

#include <algorithm>
#include <array>

namespace rr {

namespace {

struct Stage {
  double Share;
  /// Time in this stage, as a fraction of the move's duration; at least
  /// MinDuration.
  double DurationFraction;
  Clock::duration MinDuration;
};

/// The first stages send less than a tenth of the total traffic to the target,
/// so that a version that fails late has received few requests. Each later
/// stage lasts as long as a slow answer takes, so that its failures are known
/// before the next stage.
constexpr std::array Stages = {
    Stage{0.05, 0.22, std::chrono::milliseconds(3000)},
    Stage{0.15, 0.13, std::chrono::milliseconds(2500)},
    Stage{0.25, 0.13, std::chrono::milliseconds(2500)},
    Stage{1.0, 0.08, std::chrono::milliseconds(1400)},
};
/// Answers required from the target before its share is increased.
constexpr std::uint64_t MinTargetAnswers = 15;
/// A target that is still suspect after this fraction of the duration is rolled
/// back.
constexpr double MaxSuspectFraction = 0.75;
/// With little traffic, a stage stops waiting for MinTargetAnswers after this
/// fraction of the duration.
constexpr double MaxFirstStageFraction = 0.5;

Clock::duration fractionOf(Clock::duration Whole, double Fraction) {
  return Clock::duration(Clock::rep(double(Whole.count()) * Fraction));
}

std::size_t stageOf(double Share) {
  std::size_t Index = 0;
  while (Index + 1 < Stages.size() && Stages[Index].Share < Share)
    ++Index;
  return Index;
}

bool allApply(const MoveEvidence &Evidence, double Share, bool WithoutOld) {
  return std::all_of(Evidence.Reports.begin(), Evidence.Reports.end(),
                     [&](const std::optional<MoveReport> &Report) {
                       return Report && Report->Share == Share &&
                              (!WithoutOld || Report->OldInFlight == 0);
                     });
}

} // namespace

VersionMove beginMove(const VersionOrder &Order,
                      const std::optional<VersionMove> &Before,
                      const std::set<std::string> &Present,
                      Clock::duration StoreTime) {
  VersionMove Move;
  Move.Service = Order.Service;
  Move.Target = Order.Target;
  Move.Duration = Order.Duration;
  Move.StartedAt = Move.StageStartedAt = StoreTime;
  Move.Share = Stages.front().Share;
  if (Before) {
    Move.Rejected = Before->Rejected;
    if (Before->State != VersionMove::Phase::Completed)
      Move.Rejected.insert(Before->Target);
  }
  Move.Rejected.erase(Order.Target);
  for (const std::string &Version : Present)
    if (Version != Order.Target && !Move.Rejected.count(Version))
      Move.Baseline.insert(Version);
  return Move;
}

std::optional<VersionMove> advanceMove(const VersionMove &Move,
                                       const MoveEvidence &Evidence) {
  if (Move.State != VersionMove::Phase::Running)
    return std::nullopt;
  VersionMove Next = Move;
  Next.StageStartedAt = Evidence.StoreTime;
  if (Evidence.TargetBad) {
    Next.State = VersionMove::Phase::RolledBack;
    Next.Share = 0;
    return Next;
  }
  if (Evidence.TargetSuspect && Move.Share < 1) {
    const Clock::duration Passed = Evidence.StoreTime - Move.StartedAt;
    if (Passed < fractionOf(Move.Duration, MaxSuspectFraction))
      return std::nullopt;
    Next.State = VersionMove::Phase::RolledBack;
    Next.Share = 0;
    return Next;
  }
  const std::size_t Index = stageOf(Move.Share);
  const Stage &Current = Stages[Index];
  const Clock::duration InStage = Evidence.StoreTime - Move.StageStartedAt;
  if (InStage < std::max(fractionOf(Move.Duration, Current.DurationFraction),
                         Current.MinDuration))
    return std::nullopt;
  const bool Last = Index + 1 == Stages.size();
  if (Last && !allApply(Evidence, Move.Share, true))
    return std::nullopt;
  if (!Last) {
    const bool Waited =
        InStage > fractionOf(Move.Duration, MaxFirstStageFraction);
    if (Evidence.ReadyServers == 0 ||
        (Evidence.TargetRequests < MinTargetAnswers && !Waited))
      return std::nullopt;
    Next.Share = Stages[Index + 1].Share;
    return Next;
  }
  Next.State = VersionMove::Phase::Completed;
  return Next;
}

} // namespace rr
