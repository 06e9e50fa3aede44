#ifndef REDWINGRACK_ROLLOUT_ROLLOUTSCHEDULE_H
#define REDWINGRACK_ROLLOUT_ROLLOUTSCHEDULE_H

#include "rollout/WallTime.h"

#include <array>
#include <cstdint>

namespace rr {

/// Determines when a rollout enters its next stage. The duration of a stage is
/// computed from the time left until the deadline when the stage begins, so
/// that a delayed rollout catches up in the remaining stages.
class RolloutSchedule {
public:
  static constexpr std::array<double, 5> Shares{0.01, 0.05, 0.25, 0.5, 1.0};
  static constexpr std::size_t StageCount = Shares.size();
  /// Candidate requests required to end a stage before latestEnd().
  static constexpr std::uint64_t MinStageRequests = 200;

  /// \p Soak is the time at 100% before the old version may be removed.
  RolloutSchedule(WallTime Deadline, std::chrono::seconds Soak);

  /// End of a stage that began at \p Begin if it has received enough requests.
  WallTime plannedEnd(std::size_t Stage, WallTime Begin) const;
  /// End of the stage regardless of its requests, so that the deadline is met.
  WallTime latestEnd(std::size_t Stage, WallTime Begin) const;
  bool mayAdvance(std::size_t Stage, WallTime Begin, std::uint64_t Requests,
                  WallTime Now) const;

  /// Minimum time from the start of the rollout to the deadline.
  static std::chrono::seconds minDuration(std::chrono::seconds Soak);
  /// Default soak time for a rollout that takes \p Total.
  static std::chrono::seconds defaultSoak(std::chrono::seconds Total);

private:
  std::chrono::milliseconds stageDuration(std::size_t Stage,
                                          WallTime Begin) const;

  WallTime Deadline;
  std::chrono::seconds Soak;
};

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_ROLLOUTSCHEDULE_H
