#ifndef REDWINGRACK_BENCH_CAPACITYSERIES_H
#define REDWINGRACK_BENCH_CAPACITYSERIES_H

#include "bench/CapacityCost.h"

#include <string>
#include <utility>
#include <vector>

namespace rr {

/// Costs of one operation at several sizes.
class CapacitySeries {
public:
  /// \p Unit is what the size counts, for example "blocks".
  CapacitySeries(std::string Operation, std::string Unit)
      : Operation(std::move(Operation)), Unit(std::move(Unit)) {}

  void add(std::size_t Size, const CapacityCost &Cost) {
    this->Points.emplace_back(Size, Cost);
  }

  /// Prints a line for each size and the least-squares slopes.
  void print() const;

private:
  double slopeOf(double (*ValueOf)(const CapacityCost &)) const;

  std::string Operation;
  std::string Unit;
  std::vector<std::pair<std::size_t, CapacityCost>> Points;
};

/// The head of the table.
void printCapacityHead();

} // namespace rr

#endif // REDWINGRACK_BENCH_CAPACITYSERIES_H
