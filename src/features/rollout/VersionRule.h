#ifndef REDWINGRACK_ROLLOUT_VERSIONRULE_H
#define REDWINGRACK_ROLLOUT_VERSIONRULE_H

#include <cstdint>

namespace rr {

/// When the candidate version counts as bad.
struct VersionRule {
  std::uint64_t MinEvents = 3;
  /// HalfWidth of the Wilson bounds in standard deviations.
  double Sigma = 3;
  /// Distance between the bounds, as a share.
  double Margin = 0.01;
  /// Greatest chance of so many events when the candidate is as good as the
  /// stable version's upper bound. The bounds alone are no guard against
  /// repeated checks: with few requests three events by chance exceed them.
  double MaxProbability = 1e-5;
};

/// Wilson bounds of a share; 0 and 1 without requests.
double wilsonLower(std::uint64_t Events, std::uint64_t Requests, double Sigma);
double wilsonUpper(std::uint64_t Events, std::uint64_t Requests, double Sigma);

/// Upper limit (Chernoff) of the chance that \p Events or more of \p Requests
/// happen at a true share of \p Share.
double chernoffBound(std::uint64_t Events, std::uint64_t Requests,
                     double Share);

/// Whether \p Events of the candidate's \p Requests are too many beside the
/// stable version's.
bool isWorse(const VersionRule &Rule, std::uint64_t Events,
             std::uint64_t Requests, std::uint64_t StableEvents,
             std::uint64_t StableRequests);

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_VERSIONRULE_H
