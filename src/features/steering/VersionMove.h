#ifndef REDWINGRACK_STEERING_VERSIONMOVE_H
#define REDWINGRACK_STEERING_VERSIONMOVE_H

#include "base/Clock.h"
#include "base/Outcome.h"

#include <set>
#include <string>

namespace rr {

/// State of a service's move to a version, shared by all instances.
struct VersionMove {
  enum class Phase { Running, Completed, RolledBack };
  Phase State = Phase::Running;
  std::string Service;
  std::string Target;
  /// Versions that served before.
  std::set<std::string> Baseline;
  /// Targets of earlier unsuccessful moves, which receive no requests.
  std::set<std::string> Rejected;
  /// Share of the requests sent to the target.
  double Share = 0;
  /// Store clock times.
  Clock::duration StartedAt{0};
  Clock::duration StageStartedAt{0};
  Clock::duration Duration{0};
};

std::string encodeVersionMove(const VersionMove &Move);
/// Errc::Malformed for anything that encodeVersionMove() does not write.
Outcome<VersionMove> decodeVersionMove(const std::string &Text);

} // namespace rr

#endif // REDWINGRACK_STEERING_VERSIONMOVE_H
