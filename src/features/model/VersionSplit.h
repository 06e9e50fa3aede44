#ifndef REDWINGRACK_MODEL_VERSIONSPLIT_H
#define REDWINGRACK_MODEL_VERSIONSPLIT_H

#include <string>

namespace rr {

/// Share of a service's requests that goes to its new version.
struct VersionSplit {
  std::string Service;
  std::string StableVersion;
  /// Empty when no other version takes part.
  std::string CanaryVersion;
  /// 0 to 1; requests that the canary version may get at most.
  double CanaryShare = 0;
  /// Plan that moves the share; tells one rollout of a version from the next.
  std::string Plan;
};

} // namespace rr

#endif // REDWINGRACK_MODEL_VERSIONSPLIT_H
