#ifndef REDWINGRACK_LIMITS_DEMANDMETER_H
#define REDWINGRACK_LIMITS_DEMANDMETER_H

#include "base/Clock.h"
#include "limits/ShareUnits.h"

#include <map>
#include <string>

namespace rr {

/// Measures the arrival rate of each workspace's requests at this instance,
/// admitted or not, as an exponential moving average.
class DemandMeter {
public:
  void recordArrival(const std::string &Workspace, Clock::time_point Now);
  /// Arrival rate in micro-requests per second.
  MicroRequests demand(const std::string &Workspace,
                       Clock::time_point Now) const;

  /// Time constant of the average. With 1 s, shares need 2.7 s to follow 85% of
  /// a change of demand.
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
