#ifndef REDWINGRACK_ROLLOUT_VERSIONSTOP_H
#define REDWINGRACK_ROLLOUT_VERSIONSTOP_H

#include "base/Outcome.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace rr {

/// Payload of the message `versionStop`: an instance has stopped a version on
/// its own evidence.
struct VersionStop {
  std::string Plan;
  std::string Service;
  std::string Version;
  std::string Instance;
  std::string Reason;
  /// Configuration version of the sender. A receiver uses it to distinguish a
  /// plan that it does not know yet from one that has ended.
  std::uint64_t ConfigVersion = 0;
};

nlohmann::json encodeVersionStop(const VersionStop &Stop);
Outcome<VersionStop> decodeVersionStop(const nlohmann::json &Value);

} // namespace rr

#endif // REDWINGRACK_ROLLOUT_VERSIONSTOP_H
