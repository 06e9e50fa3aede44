#ifndef REDWINGRACK_USAGE_USAGEWINDOW_H
#define REDWINGRACK_USAGE_USAGEWINDOW_H

#include "usage/TrueTime.h"

#include <cstdint>
#include <map>
#include <string>

namespace rr {

/// Number of a window of true time: window k begins k times its length after
/// the Unix epoch.
using UsageWindow = std::uint64_t;

/// Requests that servers began to run, by workspace.
using UsageCounts = std::map<std::string, std::uint64_t>;

/// \p Length must be above zero; times before the epoch are in window 0.
inline UsageWindow windowAt(TrueTime Time, Clock::duration Length) {
  const auto Passed = Time.time_since_epoch();
  return Passed < Clock::duration::zero() ? 0 : UsageWindow(Passed / Length);
}

inline TrueTime windowStart(UsageWindow Window, Clock::duration Length) {
  return TrueTime(Length * Clock::rep(Window));
}

inline TrueTime windowEnd(UsageWindow Window, Clock::duration Length) {
  return windowStart(Window + 1, Length);
}

} // namespace rr

#endif // REDWINGRACK_USAGE_USAGEWINDOW_H
