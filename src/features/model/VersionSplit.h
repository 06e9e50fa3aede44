#ifndef REDWINGRACK_MODEL_VERSIONSPLIT_H
#define REDWINGRACK_MODEL_VERSIONSPLIT_H

#include <string>

namespace rr {

/// Split of a service's requests between its stable and its canary version.
struct VersionSplit {
  std::string Service;
  std::string StableVersion;
  /// Empty if all requests go to the stable version.
  std::string CanaryVersion;
  /// Maximum share of the requests for the canary version, 0 to 1.
  double CanaryShare = 0;
  /// Id of the plan that changes the share; distinguishes successive rollouts
  /// of the same version.
  std::string Plan;
};

} // namespace rr

#endif // REDWINGRACK_MODEL_VERSIONSPLIT_H
