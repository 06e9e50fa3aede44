#ifndef REDWINGRACK_LIMITS_SHAREGRANT_H
#define REDWINGRACK_LIMITS_SHAREGRANT_H

#include "limits/ShareAmount.h"
#include "limits/ShareHolder.h"

namespace rr {

/// Shares in transit from one holder to another. The pair of From and Sequence
/// is unique. A zero amount answers a borrow request that cannot be met.
struct ShareGrant {
  ShareHolder From;
  ShareHolder To;
  std::uint64_t Sequence = 0;
  std::uint64_t Epoch = 0;
  std::string Workspace;
  ShareAmount Amount;
  /// Whether the grant answers a borrow request.
  bool Borrowed = false;

  bool operator==(const ShareGrant &) const = default;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_SHAREGRANT_H
