#ifndef REDWINGRACK_GATEWAY_QUOTADECISION_H
#define REDWINGRACK_GATEWAY_QUOTADECISION_H

#include "base/Clock.h"

#include <string>

namespace rr {

/// Whether a request is within its workspace's rate.
struct QuotaDecision {
  /// Zero when it may run; otherwise until there may be room.
  Clock::duration Wait{0};
  /// Who decided, for the log.
  std::string DecidedBy;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_QUOTADECISION_H
