#ifndef REDWINGRACK_LIMITS_TOKENBUCKET_H
#define REDWINGRACK_LIMITS_TOKENBUCKET_H

#include "base/Clock.h"
#include "limits/ShareUnits.h"

#include <optional>

namespace rr {

/// Token bucket in whole micro-requests. The remainder of every refill is
/// carried on, so frequent calls neither lose nor create tokens. A reading of
/// the clock before an earlier one changes nothing.
class TokenBucket {
public:
  explicit TokenBucket(Clock::time_point Now) : LastRefill(Now) {}

  /// Adds what accrued up to \p Now, up to the capacity.
  void refill(Clock::time_point Now);
  /// Moves on to \p Now without adding tokens.
  void skipTo(Clock::time_point Now);

  /// Takes \p Amount or nothing.
  bool tryTake(MicroRequests Amount, Clock::time_point Now);

  /// Changes the rate; what accrued up to \p Now accrued at the old one.
  void setRate(MicroRequests Rate, Clock::time_point Now);
  /// Changes the capacity and drops the tokens above it.
  void setCapacity(MicroRequests Capacity, Clock::time_point Now);
  /// Adds tokens up to the capacity.
  void deposit(MicroRequests Amount);
  /// Removes up to \p Amount and returns what was removed.
  MicroRequests withdraw(MicroRequests Amount);

  MicroRequests rate() const { return this->Rate; }
  MicroRequests capacity() const { return this->Capacity; }
  /// Tokens at the last refill.
  MicroRequests tokens() const { return this->Tokens; }

  /// Time from the last refill until \p Amount is there; none when that never
  /// happens at the present rate and capacity.
  std::optional<Clock::duration> timeUntil(MicroRequests Amount) const;

private:
  MicroRequests Rate = 0;
  MicroRequests Capacity = 0;
  MicroRequests Tokens = 0;
  /// Accrued but not yet a whole unit, in billionths of a micro-request.
  std::int64_t Carry = 0;
  Clock::time_point LastRefill;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_TOKENBUCKET_H
