#ifndef REDWINGRACK_LIMITS_WORKSPACEDEMAND_H
#define REDWINGRACK_LIMITS_WORKSPACEDEMAND_H

#include "limits/ShareAmount.h"

#include <string>

namespace rr {

/// One holder's share of a workspace and the demand that it sees.
struct WorkspaceDemand {
  std::string Workspace;
  ShareAmount Held;
  /// Arriving requests, admitted or not, in micro-requests per second.
  MicroRequests Demand = 0;

  bool operator==(const WorkspaceDemand &) const = default;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_WORKSPACEDEMAND_H
