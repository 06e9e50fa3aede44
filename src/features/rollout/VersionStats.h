#ifndef REDWINGRACK_ROLLOUT_VERSIONSTATS_H
#define REDWINGRACK_ROLLOUT_VERSIONSTATS_H

#include "base/Outcome.h"
#include "rollout/VersionCounts.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace rr {

/// Counts of one instance since the rollout began there.
struct VersionStats {
  /// Plan that the counts belong to; counts of another plan are not mixed in.
  std::string Plan;
  /// By route and version.
  std::map<std::pair<std::string, std::string>, VersionCounts> Counts;
};

/// Sum over all routes.
VersionCounts totalOf(const VersionStats &Stats, const std::string &Version);

nlohmann::json encodeVersionStats(const VersionStats &Stats);

/// Errc::Malformed, or Errc::TooLarge for more entries than a heartbeat
/// carries.
Outcome<VersionStats> decodeVersionStats(const nlohmann::json &Value);

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_VERSIONSTATS_H
