#ifndef REDWINGRACK_STEERING_WORKTIMES_H
#define REDWINGRACK_STEERING_WORKTIMES_H

#include "base/Clock.h"
#include "steering/SteeringRoute.h"

#include <map>
#include <string>
#include <utility>

namespace rr {

/// What the requests of a route take at a service, learned from answers.
class WorkTimes {
public:
  struct Estimate {
    /// The server handled the object lately.
    Clock::duration Warm{0};
    Clock::duration Miss{0};
    double AnswerBytes = 0;
  };

  /// Until answers are seen, derived from the route's target latency.
  Estimate of(const SteeringRoute &Route, const std::string &Service) const;

  void note(const SteeringRoute &Route, const std::string &Service, bool Warm,
            Clock::duration Time, std::size_t AnswerBytes);

private:
  std::map<std::pair<std::string, std::string>, Estimate> Estimates;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_WORKTIMES_H
