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
  void note(const std::string &Workspace, Clock::time_point Now);
  /// Micro-requests per second.
  MicroRequests demand(const std::string &Workspace,
                       Clock::time_point Now) const;

  /// Time constant. 300 ms let the noise of slow workspaces move shares, 3 s
  /// followed moving demand too late.
  static constexpr std::chrono::milliseconds TimeConstant{1000};

private:
  struct Average {
    double PerSecond = 0;
    Clock::time_point At;
  };

  static double decayed(const Average &Value, Clock::time_point Now);

  std::map<std::string, Average> Averages;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_DEMANDMETER_H
