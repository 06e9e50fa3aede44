#ifndef REDWINGRACK_MEMBERSHIP_LOADREPORT_H
#define REDWINGRACK_MEMBERSHIP_LOADREPORT_H

#include <map>
#include <string>

namespace rr {

/// Figures of a member or the sums of a zone.
struct LoadReport {
  static constexpr std::size_t MostItems = 256;

  /// Requests per second by workspace.
  std::map<std::string, double> Demand;
  /// Free slots by service.
  std::map<std::string, double> Headroom;
};

inline void addTo(LoadReport &Sum, const LoadReport &Part) {
  for (const auto &[Name, Value] : Part.Demand)
    Sum.Demand[Name] += Value;
  for (const auto &[Name, Value] : Part.Headroom)
    Sum.Headroom[Name] += Value;
}

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_LOADREPORT_H
