#ifndef REDWINGRACK_HISTORY_REQUESTTRACE_H
#define REDWINGRACK_HISTORY_REQUESTTRACE_H

#include "history/CallerAnswered.h"
#include "history/CallerSent.h"
#include "history/ServerBegan.h"

#include <vector>

namespace rr::history {

/// Everything recorded about one request id, in order of time.
struct RequestTrace {
  std::vector<const CallerSent *> Sent;
  std::vector<const CallerAnswered *> Answered;
  std::vector<const ServerBegan *> Began;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_REQUESTTRACE_H
