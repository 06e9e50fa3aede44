#ifndef REDWINGRACK_LIMITS_SHAREACCOUNT_H
#define REDWINGRACK_LIMITS_SHAREACCOUNT_H

#include "limits/ShareAmount.h"
#include "limits/TokenBucket.h"

namespace rr {

/// What a ledger holds of one workspace.
struct ShareAccount {
  explicit ShareAccount(Clock::time_point Now) : Bucket(Now) {}

  TokenBucket Bucket;
  /// The workspace's allowance over the whole fleet.
  ShareAmount Total;
  /// Increase of the present epoch that is not usable yet.
  ShareAmount PendingIncrease;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_SHAREACCOUNT_H
