#ifndef REDWINGRACK_ROLLOUT_VERSIONGUARD_H
#define REDWINGRACK_ROLLOUT_VERSIONGUARD_H

#include "rollout/SlowThreshold.h"
#include "rollout/VersionComparison.h"
#include "rollout/VersionStop.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rr {

struct FleetConfig;

/// Watches the rollouts at one instance. Stops a version at once on the
/// instance's own evidence or on the word of another instance, without the
/// store or a lease. A stop ends with the plan that it belongs to.
class VersionGuard {
public:
  explicit VersionGuard(std::string Instance, VersionRule Rule = {});

  /// Begins the rollouts that \p Config has and forgets those it has not.
  void adopt(const FleetConfig &Config);

  /// Counts an answer. Returns a stop when this answer is the last piece of
  /// evidence; the caller sends it to the other instances.
  std::optional<VersionStop> record(const std::string &Service,
                                    const std::string &Route,
                                    const std::string &Version, bool Failed,
                                    Clock::duration Latency,
                                    Clock::time_point At);

  /// Takes the counts that another instance has reached; instances that hear
  /// of others do, above all relays. Returns a stop on the evidence of all
  /// these instances together, also while the store is down.
  std::optional<VersionStop> observe(const std::string &Service,
                                     const std::string &Source,
                                     const VersionStats &Cumulative,
                                     Clock::time_point At);

  /// Takes the stop of another instance. Returns whether it is news, so that
  /// it is passed on only once.
  bool merge(const VersionStop &Stop);

  /// Whether \p Version of \p Service must get no requests.
  bool isStopped(const std::string &Service, const std::string &Version) const;

  /// The stop that holds for a plan.
  std::optional<VersionStop> stopForPlan(const std::string &Plan) const;

  /// Counts for the heartbeat; null when the service has no rollout.
  const VersionStats *stats(const std::string &Service) const;

private:
  struct Rollout {
    std::string Candidate;
    std::string Stable;
    VersionStats Stats;
    VersionComparison LocalComparison;
    /// Of all instances whose counts are known here.
    VersionComparison FleetComparison;
    double Share = 0;
    std::optional<VersionStop> Stop;
  };

  bool applyStop(const VersionStop &Stop);
  std::optional<VersionStop> stopIfWorse(Rollout &Current,
                                         const std::string &Service,
                                         VersionComparison &Evidence,
                                         Clock::time_point At);

  std::string Instance;
  VersionRule Rule;
  std::uint64_t ConfigVersion = 0;
  std::map<std::string, Rollout> Rollouts;
  /// By service and route; kept without a rollout as well, so that the next one
  /// has a threshold from its first answer on.
  std::map<std::pair<std::string, std::string>, SlowThreshold> Thresholds;
  /// Stops of plans that this instance's configuration does not have yet.
  std::vector<VersionStop> PendingStops;
};

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_VERSIONGUARD_H
