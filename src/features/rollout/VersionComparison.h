#ifndef REDWINGRACK_ROLLOUT_VERSIONCOMPARISON_H
#define REDWINGRACK_ROLLOUT_VERSIONCOMPARISON_H

#include "rollout/VersionRule.h"
#include "rollout/VersionStats.h"
#include "rollout/VersionVerdict.h"
#include "rollout/VersionWindow.h"

#include <optional>
#include <vector>

namespace rr {

/// Compares a candidate version with the stable one, per route and in total,
/// over windows of several lengths. The short window detects a fault that
/// begins late, the long one a small fault at low traffic.
class VersionComparison {
public:
  VersionComparison(std::string Stable, std::string Candidate,
                    VersionRule Rule = {});

  /// Adds answers that have not been counted before.
  void record(const std::string &Route, const std::string &Version,
              const VersionCounts &Counts, Clock::time_point At);

  /// Updates the cumulative counts of \p Source. Decreased counts mean that the
  /// source has restarted.
  void observe(const std::string &Source, const VersionStats &Cumulative,
               Clock::time_point At);

  /// Clears the windows because the traffic share of the candidate changes.
  /// Counts from before and after must not be added: an external fault at the
  /// larger share would weigh more for the candidate than for the stable
  /// version.
  void resetWindows();

  /// Returns the evidence if the candidate is worse than the stable version.
  std::optional<VersionVerdict> check(Clock::time_point At);

  /// Candidate requests since the creation of this comparison.
  std::uint64_t candidateRequests() const { return this->Requests; }

private:
  std::optional<VersionVerdict> checkWindow(const VersionWindow &Window) const;
  std::optional<VersionVerdict> checkPair(const std::string &Route,
                                          const VersionCounts &Candidate,
                                          const VersionCounts &Stable) const;
  void updateReferences();

  std::string Stable;
  std::string Candidate;
  VersionRule Rule;
  std::vector<VersionWindow> Windows;
  /// Most recent counts of the stable version with enough requests. Used when
  /// it receives little or no traffic.
  std::map<std::string, VersionCounts> References;
  std::map<std::string, VersionStats> Sources;
  std::uint64_t Requests = 0;
};

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_VERSIONCOMPARISON_H
