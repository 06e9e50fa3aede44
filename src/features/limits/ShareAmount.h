#ifndef REDWINGRACK_LIMITS_SHAREAMOUNT_H
#define REDWINGRACK_LIMITS_SHAREAMOUNT_H

#include "limits/ShareUnits.h"

namespace rr {

/// Part of a workspace's allowance, held by an instance or in transit between
/// two. Tokens never exceed Burst; this bounds the tokens of the whole fleet by
/// the workspace's burst.
struct ShareAmount {
  /// In micro-requests per second.
  MicroRequests Rate = 0;
  /// Bucket capacity.
  MicroRequests Burst = 0;
  MicroRequests Tokens = 0;

  bool operator==(const ShareAmount &) const = default;
  bool isZero() const { return *this == ShareAmount{}; }
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_SHAREAMOUNT_H
