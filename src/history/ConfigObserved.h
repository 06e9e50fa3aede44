#ifndef REDWINGRACK_HISTORY_CONFIGOBSERVED_H
#define REDWINGRACK_HISTORY_CONFIGOBSERVED_H

#include "base/Clock.h"

#include <cstdint>
#include <string>

namespace rr::history {

/// Configuration version in force at an instance, recorded when the instance's
/// reply arrives. One observer asks an instance one question at a time.
struct ConfigObserved {
  /// When the question was sent; the reply shows a state after it.
  Clock::time_point AskedAt;
  Clock::time_point At;
  std::string Instance;
  /// 0 while the instance has none.
  std::uint64_t Version = 0;
  /// Whether the instance admits requests with keys.
  bool Serving = true;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_CONFIGOBSERVED_H
