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

/// Monitors the rollouts at one instance. Stops a version immediately on this
/// instance's own evidence or when another instance reports a stop, without the
/// store or a lease. A stop ends with its rollout plan.
class VersionGuard {
public:
  explicit VersionGuard(std::string Instance, VersionRule Rule = {});

  /// Starts monitoring the rollouts in \p Config and ends monitoring of all
  /// others.
  void adopt(const FleetConfig &Config);

  /// Counts an answer. Returns a stop if this answer completes the evidence;
  /// the caller sends it to the other instances.
  std::optional<VersionStop> record(const std::string &Service,
                                    const std::string &Route,
                                    const std::string &Version, bool Failed,
                                    Clock::duration Latency,
                                    Clock::time_point At);

  /// Updates the cumulative counts of another instance. Called on instances
  /// that receive such reports, mainly relays. Returns a stop on the combined
  /// evidence of these instances, also while the store is unavailable.
  std::optional<VersionStop> observe(const std::string &Service,
                                     const std::string &Source,
                                     const VersionStats &Cumulative,
                                     Clock::time_point At);

  /// Applies a stop from another instance. Returns whether it was new, so that
  /// it is forwarded only once.
  bool merge(const VersionStop &Stop);

  /// Whether \p Version of \p Service must not receive requests.
  bool isStopped(const std::string &Service, const std::string &Version) const;

  /// The stop in force for a plan.
  std::optional<VersionStop> stopForPlan(const std::string &Plan) const;

  /// Counts for the heartbeat; null if the service has no rollout.
  const VersionStats *stats(const std::string &Service) const;

private:
  struct Rollout {
    std::string Candidate;
    std::string Stable;
    VersionStats Stats;
    VersionComparison LocalComparison;
    /// Combined counts of all instances that report to this one.
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
  /// By service and route. Also updated without a rollout, so that the next
  /// rollout has a threshold from its first answer.
  std::map<std::pair<std::string, std::string>, SlowThreshold> Thresholds;
  /// Stops of plans that this instance's configuration does not contain yet.
  std::vector<VersionStop> PendingStops;
};

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_VERSIONGUARD_H
