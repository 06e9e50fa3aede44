#ifndef REDWINGRACK_LOOKUP_BLOCKROW_H
#define REDWINGRACK_LOOKUP_BLOCKROW_H

#include <cstdint>

namespace rr {

/// A client block as the block set keeps it.
template <typename Key> struct BlockRow {
  Key First{};
  std::uint32_t SiteList = 0;
  std::uint8_t Length = 0;

  /// A shorter prefix comes before the longer ones that it contains.
  friend bool operator<(const BlockRow &Left, const BlockRow &Right) {
    return Left.First != Right.First ? Left.First < Right.First
                                     : Left.Length < Right.Length;
  }
};

} // namespace rr

#endif // REDWINGRACK_LOOKUP_BLOCKROW_H
