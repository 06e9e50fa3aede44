#ifndef REDWINGRACK_STEERING_RETURNINGCALLERDETECTOR_H
#define REDWINGRACK_STEERING_RETURNINGCALLERDETECTOR_H

#include "base/Clock.h"

#include <map>
#include <string>

namespace rr {

/// Recognises callers that come back after a refusal: they have less time
/// left than callers of the same route have at first.
class ReturningCallerDetector {
public:
  /// Notes the time that a caller has left, and tells whether it is back.
  bool isReturning(const std::string &Route, Clock::duration TimeLeft);

private:
  /// MaxTimeLeft time left, by route.
  std::map<std::string, Clock::duration> MaxTimeLeft;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_RETURNINGCALLERDETECTOR_H
