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
  /// Requests a second that a cold server bears; 0 when it bears any number.
  double ColdRequestsPerSecond = 0;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_STEERINGSERVICE_H
