#ifndef REDWINGRACK_MODEL_WORKSPACE_H
#define REDWINGRACK_MODEL_WORKSPACE_H

#include <string>

namespace rr {

/// A tenant with the rate and burst that it pays for.
struct Workspace {
  std::string Name;
  /// Requests per second over the whole fleet.
  double Rate = 0;
  /// Requests that may come at once, over the whole fleet.
  double Burst = 0;
};

} // namespace rr

#endif // REDWINGRACK_MODEL_WORKSPACE_H
