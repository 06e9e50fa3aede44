#ifndef REDWINGRACK_LIMITS_WORKSPACEDEMAND_H
#define REDWINGRACK_LIMITS_WORKSPACEDEMAND_H

#include "limits/ShareAmount.h"

#include <string>

namespace rr {

/// What one holder holds of a workspace and how much it was asked for.
struct WorkspaceDemand {
  std::string Workspace;
  ShareAmount Held;
  /// Requests that arrived, admitted or not, in micro-requests per second.
  MicroRequests Demand = 0;

  bool operator==(const WorkspaceDemand &) const = default;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_WORKSPACEDEMAND_H
