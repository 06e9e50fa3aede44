#include "usage/TrueTime.h"

namespace rr {

TrueTime trueTime() {
  if (Clock::isPaused())
    return TrueTime(Clock::now().time_since_epoch());
  return std::chrono::time_point_cast<Clock::duration>(
      std::chrono::system_clock::now());
}

} // namespace rr
