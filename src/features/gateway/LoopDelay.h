#ifndef REDWINGRACK_GATEWAY_LOOPDELAY_H
#define REDWINGRACK_GATEWAY_LOOPDELAY_H

#include "base/Clock.h"

namespace rr {

/// How late the event loop runs its handlers, measured by the lateness of a
/// periodic timer.
class LoopDelay {
public:
  /// Time between two ticks. Delays below it are not worth accounting for.
  static constexpr Clock::duration Period = std::chrono::milliseconds(20);

  explicit LoopDelay(Clock::time_point Start) : LastTick(Start) {}

  /// When the next tick is due.
  Clock::time_point nextTick() const { return this->LastTick + Period; }
  /// Records that the tick that was due at nextTick() runs at \p Now. Returns
  /// its lateness.
  Clock::duration recordTick(Clock::time_point Now);
  /// Most that an event that is handled at \p Now may have waited since it
  /// occurred.
  Clock::duration delayAt(Clock::time_point Now) const;

private:
  Clock::time_point LastTick;
  Clock::duration LastLateness{0};
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_LOOPDELAY_H
