#ifndef REDWINGRACK_PLANS_REGIONLOAD_H
#define REDWINGRACK_PLANS_REGIONLOAD_H

#include "base/Clock.h"

#include <string>

namespace rr {

/// Measured load of a region, in requests per second.
struct RegionLoad {
  std::string Region;
  double Load = 0;
  double Capacity = 0;
  /// Since the measurement.
  Clock::duration Age{0};
};

} // namespace rr

#endif // REDWINGRACK_PLANS_REGIONLOAD_H
