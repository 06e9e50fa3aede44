#ifndef REDWINGRACK_GATEWAY_SOAKRESTORES_H
#define REDWINGRACK_GATEWAY_SOAKRESTORES_H

#include "base/Clock.h"
#include "tables/FakeTables.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace rr {

/// Restores of the store that the soak plays.
struct SoakRestores {
  struct TimedCopy {
    Clock::time_point At;
    std::shared_ptr<const FakeTables::Copy> Rows;
  };
  /// A row that the operator or a server writes again.
  struct Rewrite {
    Clock::time_point At;
    std::string Table;
    std::string Key;
  };

  /// Oldest first.
  std::deque<TimedCopy> Copies;
  /// When the store goes away, in order.
  std::deque<Clock::time_point> LeaveAt;
  /// When it comes back; Clock::time_point::max() while it is there.
  Clock::time_point ReturnAt = Clock::time_point::max();
  /// The copy that it comes back with.
  TimedCopy Source;
  std::vector<Rewrite> Rewrites;
  /// Rows that another writer still writes, to use up versions.
  std::size_t OtherWrites = 0;
  std::size_t OtherWritesPerStep = 0;
  Clock::time_point LeftAt{};
  Clock::time_point ReturnedAt{};
  /// When the last restore that was not followed by another one within a few
  /// seconds began.
  Clock::time_point SeriesLeftAt{};
  /// From then on restores are no reason for missed time limits.
  Clock::time_point SettledFrom{};
  Clock::time_point CheckRowsAt = Clock::time_point::max();
  Clock::time_point CheckCallsAt = Clock::time_point::max();
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_SOAKRESTORES_H
