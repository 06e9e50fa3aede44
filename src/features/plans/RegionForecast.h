#ifndef REDWINGRACK_PLANS_REGIONFORECAST_H
#define REDWINGRACK_PLANS_REGIONFORECAST_H

#include <string>

namespace rr {

/// Expected load of a region, in requests per second.
struct RegionForecast {
  std::string Region;
  double LoadBefore = 0;
  double LoadAfter = 0;
  double CapacityBefore = 0;
  double CapacityAfter = 0;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_REGIONFORECAST_H
