#ifndef REDWINGRACK_ROLLOUT_WALLTIME_H
#define REDWINGRACK_ROLLOUT_WALLTIME_H

#include <chrono>
#include <optional>
#include <string>

namespace rr {

/// Time of day, for deadlines that operators give and for times that must mean
/// the same to the next lease holder.
using WallTime = std::chrono::system_clock::time_point;

/// Reads "2026-12-04T06:00:00Z"; empty when \p Text has another form.
std::optional<WallTime> parseWallTime(const std::string &Text);

/// The same form; parts of a second are dropped.
std::string formatWallTime(WallTime Time);

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_WALLTIME_H
