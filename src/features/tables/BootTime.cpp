#include "tables/BootTime.h"

#include <ctime>

namespace rr {

Clock::time_point bootTime() {
  timespec Reading{};
  if (Clock::isPaused() || clock_gettime(CLOCK_BOOTTIME, &Reading) != 0)
    return Clock::now();
  return Clock::time_point(std::chrono::seconds(Reading.tv_sec) +
                           std::chrono::nanoseconds(Reading.tv_nsec));
}

} // namespace rr
