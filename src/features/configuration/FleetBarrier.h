#ifndef REDWINGRACK_CONFIGURATION_FLEETBARRIER_H
#define REDWINGRACK_CONFIGURATION_FLEETBARRIER_H

#include "base/Clock.h"
#include "membership/ControlVersions.h"

#include <string>
#include <vector>

namespace rr {

class MemberTable;

/// Tells when control state is in force everywhere: every counted member has
/// acknowledged it, or InForceDelay has passed since the store had it. An
/// instance without it has no freshness proof by then.
class FleetBarrier {
public:
  /// \p VisibleAt is a time at which the store certainly had the versions,
  /// such as the end of the commit.
  FleetBarrier(const ControlVersions &Target, Clock::time_point VisibleAt)
      : Target(Target), VisibleAt(VisibleAt) {}

  bool isInForce(const MemberTable &Members, Clock::time_point Now) const;
  /// Counted members that have not acknowledged the versions, by name.
  std::vector<std::string> unacknowledged(const MemberTable &Members) const;

private:
  ControlVersions Target;
  Clock::time_point VisibleAt;
};

} // namespace rr

#endif // REDWINGRACK_CONFIGURATION_FLEETBARRIER_H
