#ifndef REDWINGRACK_CONFIGURATION_FLEETBARRIER_H
#define REDWINGRACK_CONFIGURATION_FLEETBARRIER_H

#include "base/Clock.h"
#include "membership/ControlVersions.h"

#include <string>
#include <vector>

namespace rr {

class MemberTable;

/// Checks whether control state is in force on the whole fleet: every counted
/// member has acknowledged it, or InForceDelay has passed since it was in the
/// store. After this delay, an instance that lacks it has no valid freshness
/// proof any more.
class FleetBarrier {
public:
  /// \p VisibleAt is a time by which the versions were certainly in the store,
  /// such as the end of the commit.
  FleetBarrier(const ControlVersions &Target, Clock::time_point VisibleAt)
      : Target(Target), VisibleAt(VisibleAt) {}

  bool isInForce(const MemberTable &Members, Clock::time_point Now) const;
  /// Names of the counted members that have not acknowledged the versions.
  std::vector<std::string> unacknowledged(const MemberTable &Members) const;

private:
  ControlVersions Target;
  Clock::time_point VisibleAt;
};

} // namespace rr

#endif // REDWINGRACK_CONFIGURATION_FLEETBARRIER_H
