#ifndef REDWINGRACK_STEERING_STEERINGSERVICE_H
#define REDWINGRACK_STEERING_STEERINGSERVICE_H

#include "base/Clock.h"

#include <string>

namespace rr {

/// A service that backend servers run.
struct SteeringService {
  std::string Name;
  /// Connections that a server accepts from all callers together.
  int ConnectionLimit = 100;
  /// Permitted requests per second to a cold server; 0 for no limit.
  double ColdRequestsPerSecond = 0;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_STEERINGSERVICE_H
