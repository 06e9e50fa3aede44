#ifndef REDWINGRACK_MODEL_WORKSPACE_H
#define REDWINGRACK_MODEL_WORKSPACE_H

#include <string>

namespace rr {

/// A tenant with its contracted request rate and burst.
struct Workspace {
  std::string Name;
  /// Requests per second, over the whole fleet.
  double Rate = 0;
  /// Requests that may arrive at once, over the whole fleet.
  double Burst = 0;
};

} // namespace rr

#endif // REDWINGRACK_MODEL_WORKSPACE_H
