#ifndef REDWINGRACK_LIMITS_QUEUEDREQUEST_H
#define REDWINGRACK_LIMITS_QUEUEDREQUEST_H

#include "base/Clock.h"

#include <cstdint>
#include <string>

namespace rr {

/// A request that waits for a slot at a backend server.
struct QueuedRequest {
  /// Chosen by the caller; unique in the queue.
  std::uint64_t Id = 0;
  std::string Workspace;
  /// Latest time of dispatch at which the request can still be answered in
  /// time.
  Clock::time_point Deadline;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_QUEUEDREQUEST_H
