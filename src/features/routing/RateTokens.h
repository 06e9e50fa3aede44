#ifndef REDWINGRACK_ROUTING_RATETOKENS_H
#define REDWINGRACK_ROUTING_RATETOKENS_H

#include "base/Clock.h"

namespace rr {

/// Tokens that come in at a rate and are kept only for a short burst. Debt is
/// possible, for amounts that are known after they were spent.
class RateTokens {
public:
  /// Changes the rate; tokens in hand stay, up to \p Burst.
  void setRate(double PerSecond, double Burst, Clock::time_point Now);
  /// Whether \p Amount is there. An amount above the burst needs a full burst
  /// and leaves a debt, so that large amounts pass at the same rate.
  bool has(double Amount, Clock::time_point Now);
  void spend(double Amount) { this->Tokens -= Amount; }

private:
  void refill(Clock::time_point Now);

  double Rate = 0;
  double Burst = 0;
  double Tokens = 0;
  Clock::time_point FilledAt{};
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_RATETOKENS_H
