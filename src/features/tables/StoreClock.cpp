#include "tables/StoreClock.h"

#include <algorithm>

namespace rr {

namespace {

/// Answers that count. After a store's clock was set back, as many answers pass
/// until the estimate follows; with reads every 2 s that is 16 s.
constexpr std::size_t MaxAnswers = 8;

} // namespace

void StoreClock::record(Clock::duration StoreTime, Clock::time_point Now) {
  this->Offsets.push_back(StoreTime - Now.time_since_epoch());
  if (this->Offsets.size() > MaxAnswers)
    this->Offsets.pop_front();
}

Clock::duration StoreClock::at(Clock::time_point Now) const {
  if (this->Offsets.empty())
    return Clock::duration{0};
  return Now.time_since_epoch() +
         *std::max_element(this->Offsets.begin(), this->Offsets.end());
}

} // namespace rr
