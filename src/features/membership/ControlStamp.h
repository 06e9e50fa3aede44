#ifndef REDWINGRACK_MEMBERSHIP_CONTROLSTAMP_H
#define REDWINGRACK_MEMBERSHIP_CONTROLSTAMP_H

#include "membership/ControlVersions.h"

#include <string>

namespace rr {

/// Identifies all control state that an instance had accepted when it sent a
/// message.
struct ControlStamp {
  ControlVersions Versions;
  /// Digest of the withdrawals that are not in the store yet; empty when
  /// there are none.
  std::string PendingDigest;

  bool operator==(const ControlStamp &) const = default;
};

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_CONTROLSTAMP_H
