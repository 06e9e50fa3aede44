#ifndef REDWINGRACK_LOOKUP_KEY6_H
#define REDWINGRACK_LOOKUP_KEY6_H

#include <compare>
#include <cstdint>

namespace rr {

/// IPv6 address as a number.
struct Key6 {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  auto operator<=>(const Key6 &) const = default;
};

/// Last address of the prefix that starts at \p First.
inline std::uint32_t lastKey(std::uint32_t First, unsigned Length) {
  return Length == 0 ? ~std::uint32_t{0}
                     : First | ((std::uint64_t{1} << (32 - Length)) - 1);
}

inline Key6 lastKey(Key6 First, unsigned Length) {
  constexpr std::uint64_t All = ~std::uint64_t{0};
  if (Length == 0)
    return {All, All};
  if (Length <= 64)
    return {First.High | (Length == 64 ? 0 : All >> Length), All};
  return {First.High, First.Low | (Length == 128 ? 0 : All >> (Length - 64))};
}

/// The address after \p Key; wraps to zero behind the last one.
inline std::uint32_t nextKey(std::uint32_t Key) { return Key + 1; }

inline Key6 nextKey(Key6 Key) {
  const std::uint64_t Low = Key.Low + 1;
  return {Low == 0 ? Key.High + 1 : Key.High, Low};
}

} // namespace rr

#endif // REDWINGRACK_LOOKUP_KEY6_H
