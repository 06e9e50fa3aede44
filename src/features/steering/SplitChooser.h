#ifndef REDWINGRACK_STEERING_SPLITCHOOSER_H
#define REDWINGRACK_STEERING_SPLITCHOOSER_H

#include "steering/SteeringRoute.h"

#include <map>
#include <string>

namespace rr {

/// Distributes the requests of a route over its services so that every sequence
/// of requests closely follows the weights.
class SplitChooser {
public:
  const std::string &choose(const SteeringRoute &Route);

private:
  struct Credits {
    std::map<std::string, double> ByService;
  };
  std::map<std::string, Credits> ByRoute;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_SPLITCHOOSER_H
