#include "lookup/BlockTableBuilder.h"

#include "lookup/BlockSet.h"

namespace rr {

BlockTableBuilder::BlockTableBuilder(const BlockSet &Blocks)
    : Sweep4(Blocks.rows4(), BlockTable::NoBlock),
      Sweep6(Blocks.rows6(), BlockTable::NoBlock) {}

bool BlockTableBuilder::step(std::size_t MaxBlocks) {
  if (!this->Done4) {
    this->Done4 = this->Sweep4.step(MaxBlocks);
    return false;
  }
  return this->Sweep6.step(MaxBlocks);
}

BlockTable BlockTableBuilder::take() {
  return {this->Sweep4.take(), this->Sweep6.take()};
}

} // namespace rr
