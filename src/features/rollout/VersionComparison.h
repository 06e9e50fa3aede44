#ifndef REDWINGRACK_ROLLOUT_VERSIONCOMPARISON_H
#define REDWINGRACK_ROLLOUT_VERSIONCOMPARISON_H

#include "rollout/VersionRule.h"
#include "rollout/VersionStats.h"
#include "rollout/VersionVerdict.h"
#include "rollout/VersionWindow.h"

#include <optional>
#include <vector>

namespace rr {

/// Compares a candidate version with the stable one over several lengths of
/// time, per route and in total. The short window finds a fault that begins
/// late, the long one a small fault at low traffic.
class VersionComparison {
public:
  VersionComparison(std::string Stable, std::string Candidate,
                    VersionRule Rule = {});

  /// Adds answers that were not counted before.
  void record(const std::string &Route, const std::string &Version,
              const VersionCounts &Counts, Clock::time_point At);

  /// Takes the counts that \p Source has reached. Counts that went down mean
  /// that the source has started again.
  void observe(const std::string &Source, const VersionStats &Cumulative,
               Clock::time_point At);

  /// Forgets the counts of the windows because the candidate's share changes.
  /// Counts of two shares must not be added: a fault of the surroundings at
  /// the larger share would weigh more for the candidate than for the stable
  /// version.
  void resetWindows();

  /// The evidence when the candidate is bad.
  std::optional<VersionVerdict> check(Clock::time_point At);

  /// Requests of the candidate since this comparison began.
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
  /// The most recent well-filled counts of the stable version, for the time
  /// when it gets little or no traffic.
  std::map<std::string, VersionCounts> References;
  std::map<std::string, VersionStats> Sources;
  std::uint64_t Requests = 0;
};

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_VERSIONCOMPARISON_H
