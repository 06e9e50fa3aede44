#ifndef REDWINGRACK_PLANS_WORKSPACELOAD_H
#define REDWINGRACK_PLANS_WORKSPACELOAD_H

#include <string>

namespace rr {

/// Requests per second of a workspace that enter in a region.
struct WorkspaceLoad {
  std::string Workspace;
  std::string EntryRegion;
  double Rate = 0;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_WORKSPACELOAD_H
