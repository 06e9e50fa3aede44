#ifndef REDWINGRACK_LIMITS_ALLOCATIONMEMBER_H
#define REDWINGRACK_LIMITS_ALLOCATIONMEMBER_H

#include "limits/DemandReport.h"

#include <optional>

namespace rr {

/// A member that the next epoch is to list. Members that ended, left or were
/// silent beyond FreshnessLimit are left out, and lose their shares with it.
struct AllocationMember {
  ShareHolder Holder;
  /// Latest report; none for a member that is known to live from elsewhere
  /// (the store) and keeps what the epoch before allocated to it.
  std::optional<DemandReport> Report;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_ALLOCATIONMEMBER_H
