#ifndef REDWINGRACK_ROUTING_GRANTASK_H
#define REDWINGRACK_ROUTING_GRANTASK_H

#include <string>

namespace rr {

/// A rate that somebody would like to use.
struct GrantAsk {
  std::string Key;
  double PerSecond = 0;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_GRANTASK_H
