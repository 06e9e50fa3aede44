#ifndef REDWINGRACK_PLANS_SETRATE_H
#define REDWINGRACK_PLANS_SETRATE_H

#include <string>

namespace rr {

/// Intent: change what a workspace may send.
struct SetRate {
  std::string Workspace;
  /// Requests per second over the whole fleet.
  double Rate = 0;
  double Burst = 0;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_SETRATE_H
