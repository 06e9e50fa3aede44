#ifndef REDWINGRACK_GATEWAY_QUOTADECISION_H
#define REDWINGRACK_GATEWAY_QUOTADECISION_H

#include "base/Clock.h"

#include <string>

namespace rr {

/// Whether a request is within its workspace's rate.
struct QuotaDecision {
  /// Zero if the request may run; otherwise the time until tokens may be
  /// available.
  Clock::duration Wait{0};
  /// Source of the decision, for the log: "local share" or the name of the
  /// holder.
  std::string DecidedBy;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_QUOTADECISION_H
