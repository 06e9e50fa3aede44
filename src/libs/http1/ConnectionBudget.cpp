#include "http1/ConnectionBudget.h"

#include <algorithm>

namespace rr {

std::size_t ConnectionBudget::limit(ConnectionUse Use) const {
  std::size_t Others = 0;
  for (std::size_t Index = 0; Index < ConnectionUseCount; ++Index)
    if (Index != std::size_t(Use))
      Others += std::max(this->Used[Index], this->Parts.Guaranteed[Index]);
  const std::size_t Left =
      Others < this->Parts.Total ? this->Parts.Total - Others : 0;
  return std::max(Left, this->Parts.Guaranteed[std::size_t(Use)]);
}

ConnectionBudget::SlotPtr ConnectionBudget::tryTake(ConnectionUse Use) {
  if (this->used(Use) >= this->limit(Use))
    return nullptr;
  ++this->Used[std::size_t(Use)];
  return std::make_shared<Slot>(this->shared_from_this(), Use);
}

} // namespace rr
