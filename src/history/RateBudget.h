#ifndef REDWINGRACK_HISTORY_RATEBUDGET_H
#define REDWINGRACK_HISTORY_RATEBUDGET_H

#include "base/Clock.h"

#include <vector>

namespace rr::history {

/// Requests that a rate that changes over time allows.
class RateBudget {
public:
  /// Sets the rate, in requests per second, from \p Begin on. Calls come in
  /// order of time; the first rate holds for all time before as well.
  void add(Clock::time_point Begin, double Rate);

  /// Requests allowed from \p Begin to \p End.
  double between(Clock::time_point Begin, Clock::time_point End) const {
    return this->upTo(End) - this->upTo(Begin);
  }
  /// Requests allowed up to \p Time, from an arbitrary origin.
  double upTo(Clock::time_point Time) const;

private:
  struct Piece {
    Clock::time_point Begin;
    double Rate;
    // upTo(Begin).
    double Before;
  };
  std::vector<Piece> Pieces;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_RATEBUDGET_H
