#ifndef REDWINGRACK_LIMITS_TOKENBUCKET_H
#define REDWINGRACK_LIMITS_TOKENBUCKET_H

#include "base/Clock.h"
#include "limits/ShareUnits.h"

#include <optional>

namespace rr {

/// Token bucket in integer micro-requests. Each refill carries its remainder
/// over, so frequent calls neither lose nor create tokens. Clock readings
/// earlier than the last one have no effect.
class TokenBucket {
public:
  explicit TokenBucket(Clock::time_point Now) : LastRefill(Now) {}

  /// Adds the tokens accrued up to \p Now, up to the capacity.
  void refill(Clock::time_point Now);
  /// Advances the bucket to \p Now without adding tokens.
  void skipTo(Clock::time_point Now);

  /// Takes \p Amount, or nothing if there are fewer tokens.
  bool tryTake(MicroRequests Amount, Clock::time_point Now);

  /// Changes the rate. Tokens up to \p Now accrue at the old rate.
  void setRate(MicroRequests Rate, Clock::time_point Now);
  /// Changes the capacity and drops the tokens above it.
  void setCapacity(MicroRequests Capacity, Clock::time_point Now);
  /// Adds tokens up to the capacity.
  void deposit(MicroRequests Amount);
  /// Removes up to \p Amount and returns the removed amount.
  MicroRequests withdraw(MicroRequests Amount);

  MicroRequests rate() const { return this->Rate; }
  MicroRequests capacity() const { return this->Capacity; }
  /// Tokens at the last refill.
  MicroRequests tokens() const { return this->Tokens; }

  /// Time from the last refill until \p Amount tokens are available; empty if
  /// that never happens at the current rate and capacity.
  std::optional<Clock::duration> timeUntil(MicroRequests Amount) const;

private:
  MicroRequests Rate = 0;
  MicroRequests Capacity = 0;
  MicroRequests Tokens = 0;
  /// Accrued fraction of a micro-request, in billionths.
  std::int64_t Carry = 0;
  Clock::time_point LastRefill;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_TOKENBUCKET_H
