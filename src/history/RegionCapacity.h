#ifndef REDWINGRACK_HISTORY_REGIONCAPACITY_H
#define REDWINGRACK_HISTORY_REGIONCAPACITY_H

#include "base/Clock.h"

#include <string>

namespace rr::history {

/// Requests that the live servers of a service in a region can run together.
struct RegionCapacity {
  Clock::time_point At;
  std::string Region;
  std::string Service;
  unsigned Slots = 0;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_REGIONCAPACITY_H
