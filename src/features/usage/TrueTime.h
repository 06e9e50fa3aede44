#ifndef REDWINGRACK_USAGE_TRUETIME_H
#define REDWINGRACK_USAGE_TRUETIME_H

#include "base/Clock.h"

#include <chrono>

namespace rr {

/// Time since the Unix epoch in UTC.
using TrueTime =
    std::chrono::time_point<std::chrono::system_clock, Clock::duration>;

/// The system clock; follows Clock::now() while that is paused in tests.
TrueTime trueTime();

} // namespace rr

#endif // REDWINGRACK_USAGE_TRUETIME_H
