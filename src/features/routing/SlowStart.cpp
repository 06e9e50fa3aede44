#include "routing/SlowStart.h"

#include <algorithm>

namespace rr {

void SlowStart::begin(std::uint32_t From, Clock::time_point Now) {
  this->FromSlots = std::max(From, 1u);
  this->Until = Now + RampTime;
}

std::uint32_t SlowStart::effectiveSlots(std::uint32_t Slots,
                                        Clock::time_point Now) const {
  if (Now >= this->Until || Slots <= this->FromSlots)
    return Slots;
  const std::chrono::duration<double> Left = this->Until - Now;
  const double Done = 1 - Left / std::chrono::duration<double>(RampTime);
  return this->FromSlots +
         static_cast<std::uint32_t>(Done * (Slots - this->FromSlots));
}

} // namespace rr
