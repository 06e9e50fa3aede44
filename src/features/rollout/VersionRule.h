#ifndef REDWINGRACK_ROLLOUT_VERSIONRULE_H
#define REDWINGRACK_ROLLOUT_VERSIONRULE_H

#include <cstdint>

namespace rr {

/// Thresholds above which the candidate counts as worse than the stable
/// version.
struct VersionRule {
  std::uint64_t MinEvents = 3;
  /// Half-width of the Wilson confidence intervals in standard deviations.
  double Sigma = 3;
  /// Minimum distance between the two confidence bounds, as a fraction of
  /// requests.
  double Margin = 0.01;
  /// Maximum probability of the observed number of events if the candidate's
  /// true rate is the stable version's upper bound. The confidence bounds alone
  /// do not allow for repeated checks: with few requests, three events by
  /// chance exceed them.
  double MaxProbability = 1e-5;
};

/// Wilson confidence bounds of a fraction; 0 and 1 without requests.
double wilsonLower(std::uint64_t Events, std::uint64_t Requests, double Sigma);
double wilsonUpper(std::uint64_t Events, std::uint64_t Requests, double Sigma);

/// Chernoff bound of the probability of \p Events or more in \p Requests at a
/// true fraction of \p Share.
double chernoffBound(std::uint64_t Events, std::uint64_t Requests,
                     double Share);

/// Whether \p Events in \p Requests of the candidate are significantly more
/// than those of the stable version.
bool isWorse(const VersionRule &Rule, std::uint64_t Events,
             std::uint64_t Requests, std::uint64_t StableEvents,
             std::uint64_t StableRequests);

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_VERSIONRULE_H
