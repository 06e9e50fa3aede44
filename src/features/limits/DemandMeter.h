#ifndef REDWINGRACK_LIMITS_DEMANDMETER_H
#define REDWINGRACK_LIMITS_DEMANDMETER_H

#include "base/Clock.h"
#include "limits/ShareUnits.h"

#include <map>
#include <string>

namespace rr {

/// Rate at which requests of each workspace arrive here, admitted or not, as
/// an exponential average.
class DemandMeter {
public:
  void recordArrival(const std::string &Workspace, Clock::time_point Now);
  /// Micro-requests per second.
  MicroRequests demand(const std::string &Workspace,
                       Clock::time_point Now) const;

  /// Time constant. UpdatedAt 1 s, shares needed 2.7 s to follow by 85%.
  static constexpr std::chrono::milliseconds TimeConstant{500};

private:
  struct Average {
    double RequestsPerSecond = 0;
    Clock::time_point UpdatedAt;
  };

  static double decayed(const Average &Value, Clock::time_point Now);

  std::map<std::string, Average> Averages;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_DEMANDMETER_H
