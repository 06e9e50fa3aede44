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

/// What the requests of a route take at a service, learned from answers.
class ProcessingTimes {
public:
  struct Estimate {
    /// The server has the object cached.
    Clock::duration Hit{0};
    Clock::duration Miss{0};
    double AnswerBytes = 0;
    /// Share of hits, by CacheAffinity.
    std::array<double, CacheAffinityCount> HitShare{};

    double hitShare(CacheAffinity Affinity) const {
      return this->HitShare[static_cast<std::size_t>(Affinity)];
    }
  };

  /// Until answers are seen, derived from the route's target latency.
  Estimate estimateFor(const SteeringRoute &Route,
                       const std::string &Service) const;

  /// Takes the time of an answer. Returns its ratio to what is usual for a hit
  /// or a miss, whichever it is closer to.
  double recordAnswer(const SteeringRoute &Route, const std::string &Service,
                      CacheAffinity Affinity, Clock::duration Time,
                      std::size_t AnswerBytes);

private:
  std::map<std::pair<std::string, std::string>, Estimate> Estimates;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_PROCESSINGTIMES_H
