#ifndef REDWINGRACK_STEERING_RETURNINGCALLERDETECTOR_H
#define REDWINGRACK_STEERING_RETURNINGCALLERDETECTOR_H

#include "base/Clock.h"

#include <map>
#include <string>

namespace rr {

/// Detects callers that retry after a refusal: they have less time left than
/// other callers of the same route.
class ReturningCallerDetector {
public:
  /// Records the time that a caller has left, and returns whether it is
  /// retrying.
  bool isReturning(const std::string &Route, Clock::duration TimeLeft);

private:
  /// Slowly decaying maximum of the time left, by route.
  std::map<std::string, Clock::duration> MaxTimeLeft;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_RETURNINGCALLERDETECTOR_H
