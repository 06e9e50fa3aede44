#ifndef REDWINGRACK_ROLLOUT_VERSIONVERDICT_H
#define REDWINGRACK_ROLLOUT_VERSIONVERDICT_H

#include "rollout/VersionCounts.h"

#include <string>

namespace rr {

/// Evidence that the candidate is worse than the stable version.
struct VersionVerdict {
  enum class Kind { Failures, Slow };

  Kind Cause = Kind::Failures;
  /// Empty if the evidence covers all routes.
  std::string Route;
  VersionCounts Candidate;
  VersionCounts Stable;
  /// One sentence for operators.
  std::string Text;
};

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_VERSIONVERDICT_H
