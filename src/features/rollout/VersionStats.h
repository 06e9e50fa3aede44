#ifndef REDWINGRACK_ROLLOUT_VERSIONSTATS_H
#define REDWINGRACK_ROLLOUT_VERSIONSTATS_H

#include "base/Outcome.h"
#include "rollout/VersionCounts.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace rr {

/// Counts of one instance since the start of the rollout there.
struct VersionStats {
  /// Plan of the counts; counts of different plans are never added.
  std::string Plan;
  /// By route and version.
  std::map<std::pair<std::string, std::string>, VersionCounts> Counts;
};

/// Sum over all routes.
VersionCounts totalOf(const VersionStats &Stats, const std::string &Version);

nlohmann::json encodeVersionStats(const VersionStats &Stats);

/// Returns Errc::Malformed, or Errc::TooLarge for more entries than a heartbeat
/// may carry.
Outcome<VersionStats> decodeVersionStats(const nlohmann::json &Value);

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_VERSIONSTATS_H
