#ifndef REDWINGRACK_LOOKUP_RANGETABLE6_H
#define REDWINGRACK_LOOKUP_RANGETABLE6_H

#include "lookup/Key6.h"

#include <cstddef>
#include <vector>

namespace rr {

/// Sorted IPv6 ranges under a tree over their starts. The lower halves of the
/// starts are kept only when a prefix is longer than 64 bits.
class RangeTable6 {
public:
  void reserve(std::size_t Ranges);
  /// Appends a range that ends where the next one starts. A second range with
  /// the same start replaces the first.
  void append(Key6 First, std::uint32_t Value);
  /// Ends the construction. The first range must start at address 0.
  void finish();

  std::uint32_t find(Key6 Address) const;
  std::size_t memoryBytes() const;

private:
  static constexpr std::size_t LeafSize = 10;
  /// Starts and values of ranges side by side in two cache lines, so that a
  /// look-up waits for memory once at the leaf.
  struct alignas(128) Leaf {
    std::uint64_t Highs[LeafSize];
    std::uint32_t Values[LeafSize];
  };

  std::uint64_t high(std::size_t Range) const {
    return this->Leaves[Range / LeafSize].Highs[Range % LeafSize];
  }
  std::uint32_t &value(std::size_t Range) {
    return this->Leaves[Range / LeafSize].Values[Range % LeafSize];
  }
  std::size_t lastWithHigh(std::uint64_t High) const;

  /// The first level has the first start of each leaf; each further one has
  /// every 16th element of the level below.
  std::vector<std::vector<std::uint64_t>> Levels;
  std::vector<Leaf> Leaves;
  std::vector<std::uint64_t> Lows;
  std::size_t Ranges = 0;
  Key6 LastFirst;
};

} // namespace rr

#endif // REDWINGRACK_LOOKUP_RANGETABLE6_H
