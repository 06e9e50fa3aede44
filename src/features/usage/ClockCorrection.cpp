#include "usage/ClockCorrection.h"

#include <algorithm>

namespace rr {

Clock::duration clockCorrection(std::vector<Clock::duration> Differences) {
  // Of two clocks that differ it is not known which one is wrong.
  if (Differences.size() < 2)
    return Clock::duration::zero();
  Differences.push_back(Clock::duration::zero());
  std::sort(Differences.begin(), Differences.end());
  const std::size_t Middle = Differences.size() / 2;
  const Clock::duration Low =
      Differences[Differences.size() % 2 ? Middle : Middle - 1];
  const Clock::duration Median = Low + (Differences[Middle] - Low) / 2;
  return std::chrono::abs(Median) > MaxClockDifference
             ? Median
             : Clock::duration::zero();
}

} // namespace rr
