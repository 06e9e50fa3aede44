#ifndef REDWINGRACK_MEMBERSHIP_EVIDENCE_H
#define REDWINGRACK_MEMBERSHIP_EVIDENCE_H

#include "membership/ControlStamp.h"
#include "membership/ZoneStatus.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rr {

/// What a received message proves, provided that everything its stamp names
/// is incorporated here.
struct Evidence {
  std::string Sender;
  std::uint64_t Incarnation = 0;
  /// The message was sent at this time or later.
  Clock::time_point SentAt;
  ControlStamp Stamp;
  std::vector<ZoneStatus> Zones;
};

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_EVIDENCE_H
