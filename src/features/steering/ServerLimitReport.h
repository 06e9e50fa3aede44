#ifndef REDWINGRACK_STEERING_SERVERLIMITREPORT_H
#define REDWINGRACK_STEERING_SERVERLIMITREPORT_H

#include "base/Clock.h"

#include <optional>

namespace rr {

/// What a server said last about the requests that it takes.
struct ServerLimitReport {
  /// Requests per second from all instances together; empty for any number.
  std::optional<double> RequestsPerSecond;
  /// Store clock time of the answer.
  Clock::duration SaidAt{0};
};

} // namespace rr

#endif // REDWINGRACK_STEERING_SERVERLIMITREPORT_H
