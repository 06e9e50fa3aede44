#ifndef REDWINGRACK_STEERING_REQUESTCOST_H
#define REDWINGRACK_STEERING_REQUESTCOST_H

#include <chrono>

namespace rr {

using Seconds = std::chrono::duration<double>;

/// Work that a request is likely to cost a server of usual speed: a mixture of
/// cached and cold work, usual and heavy.
struct RequestCost {
  /// Usual work if the server has the object cached, and if not.
  Seconds Hit{0};
  Seconds Miss{0};
  double HitShare = 0;
  /// Share of heavy requests, and their work relative to usual ones.
  double HeavyShare = 0;
  double HeavyFactor = 1;
  /// Standard deviation of the logarithm of the work within one case.
  double Spread = 0;
};

/// Mean over all cases.
Seconds meanWork(const RequestCost &Cost);

/// Work that is left of a running request.
struct RemainingWork {
  Seconds Mean{0};
  /// Probability that the request is a heavy one.
  double HeavyShare = 0;
};

/// \p Worked is how long the request has run.
RemainingWork remainingWork(const RequestCost &Cost, Seconds Worked);

/// Predicted share of requests that are done within \p Time, after a wait of
/// about \p Wait.
double completionShare(const RequestCost &Cost, Seconds Wait, Seconds Time);

} // namespace rr

#endif // REDWINGRACK_STEERING_REQUESTCOST_H
