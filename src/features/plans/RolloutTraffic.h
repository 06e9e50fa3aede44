#ifndef REDWINGRACK_PLANS_ROLLOUTTRAFFIC_H
#define REDWINGRACK_PLANS_ROLLOUTTRAFFIC_H

#include "base/Random.h"
#include "plans/VersionReport.h"
#include "rollout/VersionGuard.h"

#include <functional>
#include <string>
#include <vector>

namespace rr {

struct FleetConfig;

/// Simulated requests of one service at all instances during a rollout from
/// version 1 to version 2, with a VersionGuard at each instance.
class RolloutTraffic {
public:
  struct Quality {
    double Failures = 0.002;
    /// Factor on the latency.
    double Slowness = 1;
  };
  /// Quality of the candidate on a route while it has this share, this long
  /// after the rollout began.
  using Candidate = std::function<Quality(Clock::duration Since, double Share,
                                          const std::string &Route)>;

  RolloutTraffic(std::uint64_t Seed, std::vector<std::string> Instances,
                 double RequestsPerSecond, Candidate Version2);

  /// Sends the requests of \p Step. An instance follows its configuration,
  /// moves at most its share by a deficit counter, and hears of the stops of
  /// the others one step later.
  void
  tick(Clock::duration Step,
       const std::function<const FleetConfig &(const std::string &)> &ConfigOf);

  std::vector<VersionReport> reports() const;
  /// A stop that some instance has for the plan.
  std::optional<VersionStop> stopOf(const std::string &Plan) const;

  /// Further failures that hit both versions alike.
  std::function<double(Clock::duration Since)> Surroundings;
  /// Time since the traffic began.
  Clock::duration age() const { return Clock::now() - this->Begin; }

  /// Without guards the instances stop nothing by themselves.
  bool Guarded = true;
  std::uint64_t CandidateRequests = 0;
  std::uint64_t StableRequests = 0;
  /// Failed or slowed requests of a faulty candidate.
  std::uint64_t HarmedRequests = 0;
  /// Requests that the candidate got on a faulty route or at a faulty time.
  std::uint64_t FaultyRequests = 0;
  std::optional<Clock::time_point> FirstFault;
  std::optional<Clock::time_point> LastFaulty;
  /// Counts without plans, for other rules of comparison.
  VersionStats Totals;

private:
  struct Instance {
    std::string Name;
    VersionGuard Guard;
    std::uint64_t Adopted = 0;
    double Credit = 0;
  };

  void exchangeReports();
  void send(Instance &At, double Share);
  bool takesCandidate(Instance &At, double Share) const;

  RandomEngine Engine;
  std::vector<Instance> Instances;
  double Rate;
  Candidate Version2;
  Clock::time_point Begin;
  Clock::time_point LastReports;
  std::vector<VersionStop> Messages;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_ROLLOUTTRAFFIC_H
