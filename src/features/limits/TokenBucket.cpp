#include "limits/TokenBucket.h"

#include <algorithm>

namespace rr {

namespace {

// A rate times nanoseconds needs more than 64 bits.
__extension__ using Int128 = __int128;

constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;

} // namespace

void TokenBucket::refill(Clock::time_point Now) {
  if (Now <= this->LastRefill)
    return;
  const Int128 Elapsed = (Now - this->LastRefill).count();
  this->LastRefill = Now;
  const Int128 Accrued = Int128(this->Rate) * Elapsed + this->Carry;
  const Int128 WholeUnits = Accrued / NanosecondsPerSecond;
  if (WholeUnits >= this->Capacity - this->Tokens) {
    this->Tokens = this->Capacity;
    this->Carry = 0;
    return;
  }
  this->Tokens += MicroRequests(WholeUnits);
  this->Carry = std::int64_t(Accrued % NanosecondsPerSecond);
}

void TokenBucket::skipTo(Clock::time_point Now) {
  this->LastRefill = std::max(this->LastRefill, Now);
}

bool TokenBucket::tryTake(MicroRequests Amount, Clock::time_point Now) {
  this->refill(Now);
  if (this->Tokens < Amount)
    return false;
  this->Tokens -= Amount;
  return true;
}

void TokenBucket::setRate(MicroRequests Rate, Clock::time_point Now) {
  this->refill(Now);
  this->Rate = Rate;
}

void TokenBucket::setCapacity(MicroRequests Capacity, Clock::time_point Now) {
  this->refill(Now);
  this->Capacity = Capacity;
  if (this->Tokens >= Capacity) {
    this->Tokens = Capacity;
    this->Carry = 0;
  }
}

void TokenBucket::deposit(MicroRequests Amount) {
  this->Tokens += Amount;
  if (this->Tokens >= this->Capacity) {
    this->Tokens = this->Capacity;
    this->Carry = 0;
  }
}

MicroRequests TokenBucket::withdraw(MicroRequests Amount) {
  const MicroRequests Removed = std::min(Amount, this->Tokens);
  this->Tokens -= Removed;
  return Removed;
}

std::optional<Clock::duration>
TokenBucket::timeUntil(MicroRequests Amount) const {
  if (Amount <= this->Tokens)
    return Clock::duration::zero();
  if (this->Rate == 0 || Amount > this->Capacity)
    return std::nullopt;
  const Int128 Missing =
      Int128(Amount - this->Tokens) * NanosecondsPerSecond - this->Carry;
  const Int128 Wait = (Missing + this->Rate - 1) / this->Rate;
  const Int128 MaxWait = Clock::duration::max().count();
  return Clock::duration(Clock::rep(std::min(Wait, MaxWait)));
}

} // namespace rr
