#include "limits/TokenBucket.h"

#include <algorithm>

namespace rr {

namespace {

// A rate times nanoseconds needs more than 64 bits.
__extension__ using Wide = __int128;

constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;

} // namespace

void TokenBucket::refill(Clock::time_point Now) {
  if (Now <= this->Last)
    return;
  const Wide Elapsed = (Now - this->Last).count();
  this->Last = Now;
  const Wide Accrued = Wide(this->Rate) * Elapsed + this->Carry;
  const Wide Whole = Accrued / NanosecondsPerSecond;
  if (Whole >= this->Capacity - this->Tokens) {
    this->Tokens = this->Capacity;
    this->Carry = 0;
    return;
  }
  this->Tokens += MicroRequests(Whole);
  this->Carry = std::int64_t(Accrued % NanosecondsPerSecond);
}

void TokenBucket::skip(Clock::time_point Now) {
  this->Last = std::max(this->Last, Now);
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
  const Wide Missing =
      Wide(Amount - this->Tokens) * NanosecondsPerSecond - this->Carry;
  const Wide Wait = (Missing + this->Rate - 1) / this->Rate;
  const Wide Longest = Clock::duration::max().count();
  return Clock::duration(Clock::rep(std::min(Wait, Longest)));
}

} // namespace rr
