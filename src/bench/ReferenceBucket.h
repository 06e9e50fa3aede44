#ifndef REDWINGRACK_BENCH_REFERENCEBUCKET_H
#define REDWINGRACK_BENCH_REFERENCEBUCKET_H

#include <algorithm>

namespace rr {

/// One bucket for the whole fleet, in seconds and doubles, without code of the
/// limits feature: the ideal that policies are measured against.
class ReferenceBucket {
public:
  ReferenceBucket(double Rate, double Burst)
      : Rate(Rate), Burst(Burst), Tokens(Burst) {}

  bool take(double Now) {
    this->refill(Now);
    if (this->Tokens < 1 - Tolerance)
      return false;
    this->Tokens -= 1;
    return true;
  }

  /// Takes a token that was given out elsewhere; false when there was none.
  bool charge(double Now) {
    this->refill(Now);
    this->Tokens -= 1;
    return this->Tokens >= -Tolerance;
  }

private:
  /// Rounding of doubles over a run; far below one request.
  static constexpr double Tolerance = 1e-4;

  void refill(double Now) {
    this->Tokens =
        std::min(this->Burst, this->Tokens + (Now - this->Last) * this->Rate);
    this->Last = Now;
  }

  double Rate;
  double Burst;
  double Tokens;
  double Last = 0;
};

} // namespace rr

#endif // REDWINGRACK_BENCH_REFERENCEBUCKET_H
