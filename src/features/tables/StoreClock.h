#ifndef REDWINGRACK_TABLES_STORECLOCK_H
#define REDWINGRACK_TABLES_STORECLOCK_H

#include "base/Clock.h"

#include <deque>

namespace rr {

/// Estimates the store's clock from the times in its answers. An answer that
/// waits in a socket buffer, as those of a suspended process do, gives a time
/// that is too early, never one that is too late; so the latest of the last few
/// estimates is used. All local times are of bootTime().
class StoreClock {
public:
  /// Records that an answer with the store time \p StoreTime was read at \p
  /// Now.
  void record(Clock::duration StoreTime, Clock::time_point Now);
  /// The store's clock at \p Now; zero before the first answer.
  Clock::duration at(Clock::time_point Now) const;

private:
  /// Store time minus local time, of the last answers.
  std::deque<Clock::duration> Offsets;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_STORECLOCK_H
