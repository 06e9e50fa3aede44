#ifndef REDWINGRACK_LIMITS_SHARERELEASE_H
#define REDWINGRACK_LIMITS_SHARERELEASE_H

#include "limits/ShareAmount.h"
#include "limits/ShareHolder.h"

namespace rr {

/// A relay's request that Giver moves shares to Receiver. The giver keeps at
/// least Keep, so that equal requests from two relays move the surplus only
/// once.
struct ShareRelease {
  ShareHolder Giver;
  ShareHolder Receiver;
  std::uint64_t Epoch = 0;
  std::string Workspace;
  /// Requested rate and burst; the giver adds tokens in proportion to the
  /// burst.
  ShareAmount Amount;
  ShareAmount Keep;

  bool operator==(const ShareRelease &) const = default;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_SHARERELEASE_H
