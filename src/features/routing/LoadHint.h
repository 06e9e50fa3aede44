#ifndef REDWINGRACK_ROUTING_LOADHINT_H
#define REDWINGRACK_ROUTING_LOADHINT_H

#include "base/Clock.h"

#include <chrono>

namespace rr {

/// A server's own load report as a factor on its score. Reports lag and may
/// be wrong, so they age out and are ignored after a contradiction.
class LoadHint {
public:
  /// Takes a report: \p Load is 0 (idle) to 1 (full). \p OwnUsage is the share
  /// of the server's slots that this owner itself uses. The owner is the only
  /// sender, so a report well below \p OwnUsage is false. \p Slow says that
  /// the server answers far slower than its peers, which contradicts a low
  /// load as well.
  void report(double Load, double OwnUsage, bool Slow, Clock::time_point Now);

  /// 0.5 for an idle server to 2 for a full one; 1 without a usable report.
  double factor(Clock::time_point Now) const;
  bool isDistrusted(Clock::time_point Now) const;

private:
  double Load = 0.5;
  Clock::time_point ReportedAt{};
  Clock::time_point DistrustedUntil{};
  bool Reported = false;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_LOADHINT_H
