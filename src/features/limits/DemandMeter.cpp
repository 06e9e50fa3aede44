#include "limits/DemandMeter.h"

#include <algorithm>
#include <cmath>

namespace rr {

namespace {

double seconds(Clock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

double DemandMeter::decayed(const Average &Value, Clock::time_point Now) {
  const double Age = std::max(0.0, seconds(Now - Value.UpdatedAt));
  return Value.RequestsPerSecond * std::exp(-Age / seconds(TimeConstant));
}

void DemandMeter::recordArrival(const std::string &Workspace,
                                Clock::time_point Now) {
  Average &Value = this->Averages[Workspace];
  Value.RequestsPerSecond = decayed(Value, Now) + 1.0 / seconds(TimeConstant);
  Value.UpdatedAt = std::max(Value.UpdatedAt, Now);
}

MicroRequests DemandMeter::demand(const std::string &Workspace,
                                  Clock::time_point Now) const {
  const auto Found = this->Averages.find(Workspace);
  return Found == this->Averages.end()
             ? 0
             : toMicroRequests(decayed(Found->second, Now));
}

} // namespace rr
