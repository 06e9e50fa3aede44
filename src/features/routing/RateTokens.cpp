#include "routing/RateTokens.h"

#include <algorithm>

namespace rr {

void RateTokens::refill(Clock::time_point Now) {
  if (Now < this->FilledAt)
    return;
  const std::chrono::duration<double> Gap = Now - this->FilledAt;
  this->Tokens = std::min(this->Burst, this->Tokens + this->Rate * Gap.count());
  this->FilledAt = Now;
}

void RateTokens::setRate(double PerSecond, double NewBurst,
                         Clock::time_point Now) {
  this->refill(Now);
  this->Rate = PerSecond;
  this->Burst = NewBurst;
  this->Tokens = std::min(this->Tokens, NewBurst);
}

bool RateTokens::has(double Amount, Clock::time_point Now) {
  this->refill(Now);
  return this->Tokens >= std::min(Amount, this->Burst);
}

} // namespace rr
