#ifndef REDWINGRACK_HISTORY_PREFIXMAXIMUM_H
#define REDWINGRACK_HISTORY_PREFIXMAXIMUM_H

#include <cstddef>
#include <utility>
#include <vector>

namespace rr::history {

/// Segment tree: adds to the first values of a row, and finds the maximum of
/// the first values, both in log n steps.
class PrefixMaximum {
public:
  explicit PrefixMaximum(const std::vector<double> &Values);

  void addToPrefix(std::size_t Count, double Amount);
  /// Maximum of the first \p Count values, and where it is. Requires
  /// \p Count > 0.
  std::pair<double, std::size_t> maximumOfPrefix(std::size_t Count) const;

private:
  struct Node {
    double Maximum;
    std::size_t Index;
    // Added to all values below this node and already part of Maximum.
    double Added = 0;
  };

  void update(std::size_t Position);

  // Leaves stand at Size and after; the children of node I are 2I and 2I + 1.
  std::size_t Size = 1;
  std::vector<Node> Nodes;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_PREFIXMAXIMUM_H
