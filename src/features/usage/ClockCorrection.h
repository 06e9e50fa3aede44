#ifndef REDWINGRACK_USAGE_CLOCKCORRECTION_H
#define REDWINGRACK_USAGE_CLOCKCORRECTION_H

#include "base/Clock.h"

#include <vector>

namespace rr {

/// Difference of two system clocks up to which both count as right: above the
/// delay of a message between regions, and a fifth of the usual window.
inline constexpr Clock::duration MaxClockDifference = std::chrono::seconds(1);

/// What must be added to the own system clock. \p Differences are the clocks of
/// other instances minus the own one. Zero if the median of all clocks, the own
/// one included, is near the own one, or if fewer than three are known.
Clock::duration clockCorrection(std::vector<Clock::duration> Differences);

} // namespace rr

#endif // REDWINGRACK_USAGE_CLOCKCORRECTION_H
