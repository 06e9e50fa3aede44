#ifndef REDWINGRACK_LIMITS_ALLOCATIONMEMBER_H
#define REDWINGRACK_LIMITS_ALLOCATIONMEMBER_H

#include "limits/DemandReport.h"

#include <optional>

namespace rr {

/// A member to list in the next epoch. Members that ended or left are omitted
/// and thereby lose their shares.
struct AllocationMember {
  ShareHolder Holder;
  /// Latest report. Empty for a member that only the store shows to be alive;
  /// it keeps its allocation of the previous epoch.
  std::optional<DemandReport> Report;
  /// Neither the relays nor the store have heard of the member for
  /// FreshnessLimit. It loses its shares but stays listed, so that it can
  /// receive new ones when it reappears.
  bool Silent = false;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_ALLOCATIONMEMBER_H
