#ifndef REDWINGRACK_LOOKUP_RANGESEARCH_H
#define REDWINGRACK_LOOKUP_RANGESEARCH_H

#include <cstddef>

namespace rr {

/// Number of elements of the sorted array \p Data that are not above
/// \p Value. The loop has no unpredictable branch.
template <typename T>
std::size_t countNotAbove(const T *Data, std::size_t Count, T Value) {
  if (Count == 0)
    return 0;
  const T *Base = Data;
  while (Count > 1) {
    const std::size_t Half = Count / 2;
    Base += Base[Half - 1] <= Value ? Half : 0;
    Count -= Half;
  }
  return static_cast<std::size_t>(Base - Data) + (*Base <= Value ? 1 : 0);
}

} // namespace rr

#endif // REDWINGRACK_LOOKUP_RANGESEARCH_H
