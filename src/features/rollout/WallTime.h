#ifndef REDWINGRACK_ROLLOUT_WALLTIME_H
#define REDWINGRACK_ROLLOUT_WALLTIME_H

#include <chrono>
#include <optional>
#include <string>

namespace rr {

/// Wall-clock time, for deadlines set by operators and for times that must stay
/// valid when the lease moves to another instance.
using WallTime = std::chrono::system_clock::time_point;

/// Parses "2026-12-04T06:00:00Z"; returns nothing if \p Text has another
/// format.
std::optional<WallTime> parseWallTime(const std::string &Text);

/// Formats as parsed by parseWallTime(); fractions of a second are dropped.
std::string formatWallTime(WallTime Time);

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_WALLTIME_H
