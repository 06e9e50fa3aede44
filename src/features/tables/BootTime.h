#ifndef REDWINGRACK_TABLES_BOOTTIME_H
#define REDWINGRACK_TABLES_BOOTTIME_H

#include "base/Clock.h"

namespace rr {

/// Time since the machine started, including the time that it was suspended,
/// which rr::Clock does not count. Follows a paused clock.
Clock::time_point bootTime();

} // namespace rr

#endif // REDWINGRACK_TABLES_BOOTTIME_H
