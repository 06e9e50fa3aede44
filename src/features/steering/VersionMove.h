#ifndef REDWINGRACK_STEERING_VERSIONMOVE_H
#define REDWINGRACK_STEERING_VERSIONMOVE_H

#include "base/Clock.h"
#include "base/Outcome.h"

#include <set>
#include <string>

namespace rr {

/// How far a service's move to a version has come; shared by all instances.
struct VersionMove {
  enum class Phase { Running, Completed, RolledBack };
  Phase State = Phase::Running;
  std::string Service;
  std::string Target;
  /// Versions that served before.
  std::set<std::string> Baseline;
  /// Versions of earlier moves that must get nothing.
  std::set<std::string> Rejected;
  /// Part of the requests that goes to the target.
  double Share = 0;
  /// Times of the store's clock.
  Clock::duration StartedAt{0};
  Clock::duration StageStartedAt{0};
  Clock::duration Duration{0};
};

std::string encodeVersionMove(const VersionMove &Move);
/// Errc::Malformed for anything that encodeVersionMove() does not write.
Outcome<VersionMove> decodeVersionMove(const std::string &Text);

} // namespace rr

#endif // REDWINGRACK_STEERING_VERSIONMOVE_H
