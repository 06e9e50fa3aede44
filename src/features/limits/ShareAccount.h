#ifndef REDWINGRACK_LIMITS_SHAREACCOUNT_H
#define REDWINGRACK_LIMITS_SHAREACCOUNT_H

#include "limits/ShareAmount.h"
#include "limits/TokenBucket.h"

namespace rr {

/// Shares of one workspace held by a ledger.
struct ShareAccount {
  explicit ShareAccount(Clock::time_point Now) : Bucket(Now) {}

  TokenBucket Bucket;
  /// The workspace's allowance over the whole fleet.
  ShareAmount Total;
  /// Increase of the current epoch that is not usable before the barrier.
  ShareAmount PendingIncrease;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_SHAREACCOUNT_H
