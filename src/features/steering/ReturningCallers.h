#ifndef REDWINGRACK_STEERING_RETURNINGCALLERS_H
#define REDWINGRACK_STEERING_RETURNINGCALLERS_H

#include "base/Clock.h"

#include <map>
#include <string>

namespace rr {

/// Recognises callers that come back after a refusal: they have less time
/// left than callers of the same route have at first.
class ReturningCallers {
public:
  /// Notes the time that a caller has left, and tells whether it is back.
  bool isBack(const std::string &Route, Clock::duration TimeLeft);

private:
  /// Longest time left, by route.
  std::map<std::string, Clock::duration> Longest;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_RETURNINGCALLERS_H
