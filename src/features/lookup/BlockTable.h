#ifndef REDWINGRACK_LOOKUP_BLOCKTABLE_H
#define REDWINGRACK_LOOKUP_BLOCKTABLE_H

#include "lookup/IpAddress.h"
#include "lookup/RangeTable4.h"
#include "lookup/RangeTable6.h"

#include <optional>

namespace rr {

class BlockSet;

/// Longest-prefix match from a client address to its site list. The table
/// does not change; a changed block set needs a new table.
class BlockTable {
public:
  /// Marks addresses that no block contains.
  static constexpr std::uint32_t NoBlock = 0xffffffff;

  /// A table without blocks.
  BlockTable();
  BlockTable(RangeTable4 Ranges4, RangeTable6 Ranges6);

  /// Site list of the longest matching prefix; empty when there is none.
  std::optional<std::uint32_t> find(const IpAddress &Address) const;
  std::size_t memoryBytes() const;

private:
  RangeTable4 Ranges4;
  RangeTable6 Ranges6;
};

/// Builds the table in one pass. See BlockTableBuilder for building it in
/// slices.
BlockTable buildBlockTable(const BlockSet &Blocks);

} // namespace rr

#endif // REDWINGRACK_LOOKUP_BLOCKTABLE_H
