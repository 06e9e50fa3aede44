#include "lookup/BlockTable.h"

#include "lookup/BlockSet.h"
#include "lookup/BlockTableBuilder.h"

#include <limits>
#include <utility>

namespace rr {

BlockTable::BlockTable() : BlockTable(buildBlockTable(BlockSet())) {}

BlockTable::BlockTable(RangeTable4 Ranges4, RangeTable6 Ranges6)
    : Ranges4(std::move(Ranges4)), Ranges6(std::move(Ranges6)) {}

std::optional<std::uint32_t> BlockTable::find(const IpAddress &Address) const {
  const std::uint32_t Value =
      Address.IsV4 ? this->Ranges4.find(static_cast<std::uint32_t>(Address.Low))
                   : this->Ranges6.find({Address.High, Address.Low});
  if (Value == NoBlock)
    return std::nullopt;
  return Value;
}

std::size_t BlockTable::memoryBytes() const {
  return this->Ranges4.memoryBytes() + this->Ranges6.memoryBytes();
}

BlockTable buildBlockTable(const BlockSet &Blocks) {
  BlockTableBuilder Builder(Blocks);
  while (!Builder.step(std::numeric_limits<std::size_t>::max())) {
  }
  return Builder.take();
}

} // namespace rr
