#ifndef REDWINGRACK_LIMITS_WORKSPACEALLOCATION_H
#define REDWINGRACK_LIMITS_WORKSPACEALLOCATION_H

#include "limits/ShareAmount.h"
#include "limits/ShareHolder.h"

#include <map>

namespace rr {

/// A workspace's allowance and its division in one epoch. Tokens are unused.
struct WorkspaceAllocation {
  ShareAmount Total;
  std::map<ShareHolder, ShareAmount> Shares;

  bool operator==(const WorkspaceAllocation &) const = default;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_WORKSPACEALLOCATION_H
