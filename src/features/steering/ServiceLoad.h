#ifndef REDWINGRACK_STEERING_SERVICELOAD_H
#define REDWINGRACK_STEERING_SERVICELOAD_H

#include "base/Clock.h"
#include "steering/LoadSample.h"
#include "steering/ServerBacklog.h"

#include <map>
#include <string>

namespace rr {

/// What the reports and answers of all servers of a service say together.
struct ServiceLoad {
  /// Mean observed work of a request; zero until one was observed.
  Seconds Work{0};
  /// Smoothed requests of other instances by slot.
  double OthersPerSlot = 0;
  Clock::time_point ReportedAt{};
  bool Known = false;
  /// Reports in a row without the speed of the machine.
  int ReportsWithoutFactor = 0;
  /// Some report had it.
  bool HadFactor = false;
  /// The same by region of the servers.
  std::map<std::string, ServiceLoad, std::less<>> Regions;
};

void noteServiceReport(ServiceLoad &Load, const LoadSample &Sample,
                       double Others, int Slots, Clock::time_point Now);
void noteServiceWork(ServiceLoad &Load, Seconds Work);

/// Whether the servers report the speed of their machines.
bool reportsWorkFactor(const ServiceLoad &Load);

/// \p Expected is the work to assume until one was observed.
UsualLoad usualLoad(const ServiceLoad &Load, Seconds Expected,
                    Clock::time_point Now);

} // namespace rr

#endif // REDWINGRACK_STEERING_SERVICELOAD_H
