#ifndef REDWINGRACK_PLANS_BARRIERREPORT_H
#define REDWINGRACK_PLANS_BARRIERREPORT_H

#include <string>
#include <vector>

namespace rr {

/// Whether a change of control state is in force everywhere.
struct BarrierReport {
  bool Passed = false;
  /// Instances that have not confirmed it.
  std::vector<std::string> Missing;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_BARRIERREPORT_H
