#ifndef REDWINGRACK_PLANS_TAKEONWORKSPACE_H
#define REDWINGRACK_PLANS_TAKEONWORKSPACE_H

#include <string>
#include <vector>

namespace rr {

/// Intent: serve a new workspace.
struct TakeOnWorkspace {
  std::string Workspace;
  double Rate = 0;
  double Burst = 0;
  /// Where its callers are; the expected load is divided among them.
  std::vector<std::string> EntryRegions;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_TAKEONWORKSPACE_H
