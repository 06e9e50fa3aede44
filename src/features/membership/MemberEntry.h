#ifndef REDWINGRACK_MEMBERSHIP_MEMBERENTRY_H
#define REDWINGRACK_MEMBERSHIP_MEMBERENTRY_H

#include "base/Clock.h"
#include "membership/ControlVersions.h"
#include "membership/Member.h"

#include <optional>

namespace rr {

/// A member with what is known here about its present incarnation.
struct MemberEntry {
  Member Record;
  /// Everything that the member had accepted at this time is incorporated
  /// here. The earliest time when it was never heard of.
  Clock::time_point HeardAt = Clock::time_point::min();
  /// Highest versions that it has acknowledged.
  ControlVersions Acknowledged;
  /// It has taken the control state from the store or a peer since its start.
  bool Synchronised = false;
  /// When prune() first found that the member is not counted.
  std::optional<Clock::time_point> GoneSince;
};

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_MEMBERENTRY_H
