#ifndef REDWINGRACK_ROUTING_USAGEAVERAGE_H
#define REDWINGRACK_ROUTING_USAGEAVERAGE_H

#include "base/Clock.h"

namespace rr {

/// Time average of a level that changes in steps.
class UsageAverage {
public:
  /// The level is \p Level from \p Now on.
  void set(double Level, Clock::time_point Now);
  double value(Clock::time_point Now) const;

private:
  double Average = 0;
  double Level = 0;
  Clock::time_point Since{};
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_USAGEAVERAGE_H
