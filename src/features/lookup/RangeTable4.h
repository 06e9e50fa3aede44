#ifndef REDWINGRACK_LOOKUP_RANGETABLE4_H
#define REDWINGRACK_LOOKUP_RANGETABLE4_H

#include <cstdint>
#include <vector>

namespace rr {

/// Sorted IPv4 ranges with an index over the upper 16 bits. A range takes six
/// bytes: the lower half of its first address and its value.
class RangeTable4 {
public:
  void reserve(std::size_t Ranges);
  /// Appends a range that ends where the next one starts. A second range with
  /// the same start replaces the first.
  void append(std::uint32_t First, std::uint32_t Value);
  /// Ends the construction. The first range must start at address 0.
  void finish();

  std::uint32_t find(std::uint32_t Address) const;
  std::size_t memoryBytes() const;

private:
  std::vector<std::uint32_t> Index;
  std::vector<std::uint16_t> Lows;
  std::vector<std::uint32_t> Values;
  std::uint32_t LastFirst = 0;
};

} // namespace rr

#endif // REDWINGRACK_LOOKUP_RANGETABLE4_H
