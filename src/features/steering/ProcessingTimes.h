#ifndef REDWINGRACK_STEERING_PROCESSINGTIMES_H
#define REDWINGRACK_STEERING_PROCESSINGTIMES_H

#include "base/Clock.h"
#include "steering/CacheAffinity.h"
#include "steering/SteeringRoute.h"

#include <array>
#include <map>
#include <string>
#include <utility>

namespace rr {

/// Estimated processing times and answer sizes by route and service, learned
/// from answers.
class ProcessingTimes {
public:
  struct Estimate {
    /// Processing time if the server has the object cached, and if not.
    Clock::duration Hit{0};
    Clock::duration Miss{0};
    double AnswerBytes = 0;
    /// Share of hits, by CacheAffinity.
    std::array<double, CacheAffinityCount> HitShare{};

    double hitShare(CacheAffinity Affinity) const {
      return this->HitShare[static_cast<std::size_t>(Affinity)];
    }
  };

  /// Returns the estimate for the route; until answers are seen, it is derived
  /// from the route's target latency.
  Estimate estimateFor(const SteeringRoute &Route,
                       const std::string &Service) const;

  /// Records the time of an answer. Returns its ratio to the mean of a hit or a
  /// miss, whichever is closer.
  double recordAnswer(const SteeringRoute &Route, const std::string &Service,
                      CacheAffinity Affinity, Clock::duration Time,
                      std::size_t AnswerBytes);

private:
  std::map<std::pair<std::string, std::string>, Estimate> Estimates;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_PROCESSINGTIMES_H
