#ifndef REDWINGRACK_STEERING_MOVEREPORT_H
#define REDWINGRACK_STEERING_MOVEREPORT_H

#include "base/Outcome.h"
#include "rollout/VersionStats.h"

#include <string>

namespace rr {

/// Progress of a version move at one instance, published to the others.
struct MoveReport {
  std::string Target;
  /// Traffic share of the target that the instance applies.
  double Share = 0;
  /// Requests in flight at versions other than the target.
  int OldInFlight = 0;
  VersionStats Stats;
};

std::string encodeMoveReport(const MoveReport &Report);
/// Errc::Malformed for anything that encodeMoveReport() does not write.
Outcome<MoveReport> decodeMoveReport(const std::string &Text);

} // namespace rr

#endif // REDWINGRACK_STEERING_MOVEREPORT_H
