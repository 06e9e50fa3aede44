#ifndef REDWINGRACK_ROLLOUT_VERSIONSTOP_H
#define REDWINGRACK_ROLLOUT_VERSIONSTOP_H

#include "base/Outcome.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace rr {

/// An instance has stopped a version on its own evidence; the payload of the
/// message `versionStop`.
struct VersionStop {
  std::string Plan;
  std::string Service;
  std::string Version;
  std::string Instance;
  std::string Reason;
  /// Configuration of the sender, by which a receiver tells a plan that it has
  /// not seen yet from one that has ended.
  std::uint64_t ConfigVersion = 0;
};

nlohmann::json encodeVersionStop(const VersionStop &Stop);
Outcome<VersionStop> decodeVersionStop(const nlohmann::json &Value);

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_VERSIONSTOP_H
