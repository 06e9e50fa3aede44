#ifndef REDWINGRACK_STEERING_SHARETOTALS_H
#define REDWINGRACK_STEERING_SHARETOTALS_H

#include <cstddef>
#include <map>
#include <string>

namespace rr {

/// Totals over the instances that share the fleet-wide limits, such as rates.
struct ShareTotals {
  std::size_t Holders = 0;
  std::map<std::string, std::size_t> HoldersByRegion;
  /// Requests per second by workspace.
  std::map<std::string, double> Demand;
  /// The same by region and workspace.
  std::map<std::string, std::map<std::string, double>> DemandByRegion;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_SHARETOTALS_H
