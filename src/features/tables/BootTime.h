#ifndef REDWINGRACK_TABLES_BOOTTIME_H
#define REDWINGRACK_TABLES_BOOTTIME_H

#include "base/Clock.h"

namespace rr {

/// Time since the machine booted, including time in suspend, which rr::Clock
/// does not count. Returns Clock::now() while the clock is paused in tests.
Clock::time_point bootTime();

} // namespace rr

#endif // REDWINGRACK_TABLES_BOOTTIME_H
