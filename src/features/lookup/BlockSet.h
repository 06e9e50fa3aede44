#ifndef REDWINGRACK_LOOKUP_BLOCKSET_H
#define REDWINGRACK_LOOKUP_BLOCKSET_H

#include "lookup/BlockChange.h"
#include "lookup/BlockRow.h"
#include "lookup/Key6.h"

#include <vector>

namespace rr {

/// All client blocks in the order that the table builder reads them.
class BlockSet {
public:
  /// Merges \p Changes into the set; the last change of a prefix counts. One
  /// call costs a pass over the whole set, so changes are passed together.
  void apply(const std::vector<BlockChange> &Changes);

  const std::vector<BlockRow<std::uint32_t>> &rows4() const {
    return this->Rows4;
  }
  const std::vector<BlockRow<Key6>> &rows6() const { return this->Rows6; }
  std::size_t size() const { return this->Rows4.size() + this->Rows6.size(); }
  std::size_t memoryBytes() const;

private:
  std::vector<BlockRow<std::uint32_t>> Rows4;
  std::vector<BlockRow<Key6>> Rows6;
};

} // namespace rr

#endif // REDWINGRACK_LOOKUP_BLOCKSET_H
