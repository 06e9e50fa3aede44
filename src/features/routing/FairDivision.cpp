#include "routing/FairDivision.h"

#include <algorithm>
#include <numeric>

namespace rr {

std::vector<double> divideFairly(double Total,
                                 const std::vector<double> &Asks) {
  std::vector<std::size_t> Order(Asks.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::ranges::sort(Order, {}, [&](std::size_t I) { return Asks[I]; });
  std::vector<double> Result(Asks.size());
  double Left = std::max(Total, 0.0);
  for (std::size_t Position = 0; Position < Order.size(); ++Position) {
    const double Equal = Left / static_cast<double>(Order.size() - Position);
    const std::size_t I = Order[Position];
    Result[I] = std::clamp(Asks[I], 0.0, Equal);
    Left = std::max(Left - Result[I], 0.0);
  }
  return Result;
}

} // namespace rr
