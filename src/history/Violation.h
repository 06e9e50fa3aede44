#ifndef REDWINGRACK_HISTORY_VIOLATION_H
#define REDWINGRACK_HISTORY_VIOLATION_H

#include "history/Event.h"
#include "history/Promise.h"

#include <string>
#include <vector>

namespace rr::history {

/// One place where a history breaks a promise.
struct Violation {
  Promise Broken;
  Clock::time_point At;
  /// What the promise asks for here, and what was seen instead.
  std::string Expected;
  std::string Seen;
  /// The events that show it.
  std::vector<Event> Events;
};

/// One line: promise, time, expected, seen, events.
std::string describe(const Violation &Item);

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_VIOLATION_H
