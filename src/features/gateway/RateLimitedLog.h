#ifndef REDWINGRACK_GATEWAY_RATELIMITEDLOG_H
#define REDWINGRACK_GATEWAY_RATELIMITEDLOG_H

#include "base/Clock.h"
#include "logging/EventLog.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rr {

/// Writes events of single requests up to a rate. Once a second it says how
/// many were left out, by what became of them.
class RateLimitedLog {
public:
  /// Lines a second; beyond it a line costs more than it tells.
  static constexpr int MaxLinesPerSecond = 300;

  /// \p Outcome is what lines that are left out are counted by.
  /// Returns false when the line was left out; \p Fields is not called then.
  bool write(Event Number, const std::string &Outcome,
             const std::function<std::vector<EventField>()> &Fields);

private:
  void startInterval(Clock::time_point Now);

  Clock::time_point IntervalStart{};
  int LinesInInterval = 0;
  std::map<std::string, std::uint64_t> Suppressed;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_RATELIMITEDLOG_H
