#ifndef REDWINGRACK_HISTORY_CALLEROUTCOME_H
#define REDWINGRACK_HISTORY_CALLEROUTCOME_H

namespace rr::history {

/// How a request ended for its caller.
enum class CallerOutcome {
  Answered,
  /// Refused with `not_run`, or the connection to the entry was refused.
  NotRun,
  Unknown,
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_CALLEROUTCOME_H
