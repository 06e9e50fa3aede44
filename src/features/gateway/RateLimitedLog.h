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

/// Writes events about single requests up to a rate limit. After each second it
/// logs how many events were suppressed, by outcome.
class RateLimitedLog {
public:
  /// Lines per second. Under overload, formatting more lines would take CPU
  /// time from the requests.
  static constexpr int MaxLinesPerSecond = 300;

  /// Suppressed events are counted by \p Outcome. Returns false if the event
  /// was suppressed; \p Fields is not called in that case.
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
