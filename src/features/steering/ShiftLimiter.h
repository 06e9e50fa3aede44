#ifndef REDWINGRACK_STEERING_SHIFTLIMITER_H
#define REDWINGRACK_STEERING_SHIFTLIMITER_H

#include "base/Clock.h"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace rr {

/// Keeps the share of requests that each region serves from changing faster
/// than allowed from one window to the next.
class ShiftLimiter {
public:
  /// \p MaxShift is the share of requests that may change their region.
  explicit ShiftLimiter(double MaxShift) : MaxShift(MaxShift) {}

  /// Shares by region that count as those of the time before the first
  /// request.
  void setInitialShares(std::map<std::string, double> Shares) {
    this->InitialShares = std::move(Shares);
  }

  /// No request was noted lately, so that there is no share to keep.
  bool isIdle() const { return this->Buckets.empty(); }

  /// Which regions have had their share of moves for now.
  struct RegionLimits {
    /// Should get requests only when others have no room.
    std::set<std::string> Deprioritized;
    /// Must get none, unless servers have been lost.
    std::set<std::string> Blocked;
  };
  RegionLimits evaluate(Clock::time_point Now);
  void recordRequest(const std::string &Region, Clock::time_point Now);

private:
  struct Bucket {
    Clock::time_point Start;
    std::map<std::string, int> Counts;
  };
  void expire(Clock::time_point Now);

  double MaxShift;
  std::map<std::string, double> InitialShares;
  std::deque<Bucket> Buckets;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_SHIFTLIMITER_H
