#ifndef REDWINGRACK_HISTORY_SHIFTCAP_H
#define REDWINGRACK_HISTORY_SHIFTCAP_H

#include "base/Clock.h"

#include <string>

namespace rr::history {

/// A traffic shift got its first cap or another one.
struct ShiftCap {
  /// Earliest moment at which the cap can have had effect: when the operator's
  /// confirmation was sent, or the step was last seen as not begun.
  Clock::time_point At;
  /// When the cap was in force everywhere: as the system reported it, at most
  /// 7 s after it accepted the cap. Until then the former cap is allowed too.
  Clock::time_point InForce;
  std::string Plan;
  std::string Workspace;
  /// Empty for traffic that enters anywhere.
  std::string FromRegion;
  std::string ToRegion;
  /// Largest share of the requests that may be served in ToRegion, 0 to 1.
  double Cap = 0;
  /// True when the shift is over and no longer bounds anything.
  bool Over = false;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_SHIFTCAP_H
