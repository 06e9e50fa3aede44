#ifndef REDWINGRACK_STEERING_COSTCORRECTIONS_H
#define REDWINGRACK_STEERING_COSTCORRECTIONS_H

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rr {

/// Learned ratios of the work for single objects or workspaces to that of their
/// route, in a table of fixed size.
class CostCorrections {
public:
  explicit CostCorrections(std::size_t Entries) : Table(Entries) {}

  /// Ratio for the hash \p Key, shrunk to 1 as far as there are few
  /// observations.
  double ratio(std::uint64_t Key) const;
  /// Records that the work was \p Ratio times that of the route.
  void record(std::uint64_t Key, double Ratio);

private:
  struct Entry {
    std::uint64_t Key = 0;
    /// Sum of logarithms and number of observations, both aging.
    float LogSum = 0;
    float Count = 0;
  };
  std::vector<Entry> Table;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_COSTCORRECTIONS_H
