#ifndef REDWINGRACK_HISTORY_CALLERANSWERED_H
#define REDWINGRACK_HISTORY_CALLERANSWERED_H

#include "base/Clock.h"
#include "history/CallerOutcome.h"

#include <string>

namespace rr::history {

/// A caller got the answer or the refusal, or lost its connection.
struct CallerAnswered {
  Clock::time_point At;
  std::string RequestId;
  CallerOutcome Outcome = CallerOutcome::Answered;
  std::string ReceivedDigest;
  /// False when the connection ended before the HTTP message was complete.
  bool Whole = true;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_CALLERANSWERED_H
