#include "gateway/LoopDelay.h"

#include <algorithm>

namespace rr {

Clock::duration LoopDelay::recordTick(Clock::time_point Now) {
  this->LastLateness =
      std::max(Now - this->nextTick(), Clock::duration::zero());
  this->LastTick = Now;
  return this->LastLateness;
}

Clock::duration LoopDelay::delayAt(Clock::time_point Now) const {
  // While the next tick is overdue, the loop still handles the events that it
  // found at the last one.
  return this->LastLateness +
         std::max(Now - this->nextTick(), Clock::duration::zero());
}

} // namespace rr
