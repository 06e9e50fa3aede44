#ifndef REDWINGRACK_STEERING_SPLITPART_H
#define REDWINGRACK_STEERING_SPLITPART_H

#include <string>

namespace rr {

/// A service that gets a share of a route's requests.
struct SplitPart {
  std::string Service;
  /// Relative to the weights of the route's other parts.
  double Weight = 1;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_SPLITPART_H
