#ifndef REDWINGRACK_LOOKUP_BLOCKTABLEBUILDER_H
#define REDWINGRACK_LOOKUP_BLOCKTABLEBUILDER_H

#include "lookup/BlockTable.h"
#include "lookup/RangeSweep.h"

namespace rr {

class BlockSet;

/// Builds a block table in slices, so that a rebuild does not hold up the
/// thread that also serves requests.
class BlockTableBuilder {
public:
  /// \p Blocks must outlive the builder and stay unchanged.
  explicit BlockTableBuilder(const BlockSet &Blocks);

  /// Reads at most \p MaxBlocks blocks; returns whether the table is complete.
  bool step(std::size_t MaxBlocks);
  /// Requires that step() returned true.
  BlockTable take();

private:
  RangeSweep<std::uint32_t, RangeTable4> Sweep4;
  RangeSweep<Key6, RangeTable6> Sweep6;
  bool Done4 = false;
};

} // namespace rr

#endif // REDWINGRACK_LOOKUP_BLOCKTABLEBUILDER_H
