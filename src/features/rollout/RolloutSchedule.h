#ifndef REDWINGRACK_ROLLOUT_ROLLOUTSCHEDULE_H
#define REDWINGRACK_ROLLOUT_ROLLOUTSCHEDULE_H

#include "rollout/WallTime.h"

#include <array>
#include <cstdint>

namespace rr {

/// When a rollout goes to its next stage. The time of a stage is computed back
/// from the deadline when the stage begins, so that a rollout that was held up
/// makes up for it in the stages that remain.
class RolloutSchedule {
public:
  static constexpr std::array<double, 5> Shares{0.01, 0.05, 0.25, 0.5, 1.0};
  static constexpr std::size_t StageCount = Shares.size();
  /// Requests that the candidate should have got in a stage.
  static constexpr std::uint64_t MinStageRequests = 200;

  /// \p Soak is the time at 100% before the old version may go.
  RolloutSchedule(WallTime Deadline, std::chrono::seconds Soak);

  /// Time at which a stage that began at \p Begin ends when it has its
  /// requests.
  WallTime plannedEnd(std::size_t Stage, WallTime Begin) const;
  /// Time at which it ends without them, because the deadline demands it.
  WallTime latestEnd(std::size_t Stage, WallTime Begin) const;
  bool mayAdvance(std::size_t Stage, WallTime Begin, std::uint64_t Requests,
                  WallTime Now) const;

  /// Least time from the start to the deadline.
  static std::chrono::seconds minDuration(std::chrono::seconds Soak);
  /// Soak for a rollout of this length when the operator names none.
  static std::chrono::seconds defaultSoak(std::chrono::seconds Total);

private:
  std::chrono::milliseconds stageDuration(std::size_t Stage,
                                          WallTime Begin) const;

  WallTime Deadline;
  std::chrono::seconds Soak;
};

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_ROLLOUTSCHEDULE_H
