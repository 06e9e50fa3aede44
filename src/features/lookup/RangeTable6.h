#ifndef REDWINGRACK_LOOKUP_RANGETABLE6_H
#define REDWINGRACK_LOOKUP_RANGETABLE6_H

#include "lookup/Key6.h"

#include <cstddef>
#include <vector>

namespace rr {

/// Sorted IPv6 ranges under a tree of every 16th start. The lower halves of the
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
  std::size_t lastWithHigh(std::uint64_t High) const;

  /// Every 16th element of the level below; the first level is over Highs.
  std::vector<std::vector<std::uint64_t>> Levels;
  std::vector<std::uint64_t> Highs;
  std::vector<std::uint64_t> Lows;
  std::vector<std::uint32_t> Values;
  Key6 LastFirst;
};

} // namespace rr

#endif // REDWINGRACK_LOOKUP_RANGETABLE6_H
