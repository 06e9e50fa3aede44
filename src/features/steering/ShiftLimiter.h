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
  /// \p MostShift is the share of requests that may change their region.
  explicit ShiftLimiter(double MostShift) : MostShift(MostShift) {}

  /// Shares by region that count as those of the time before the first
  /// request.
  void setStart(std::map<std::string, double> Shares) {
    this->Start = std::move(Shares);
  }

  /// No request was noted lately, so that there is no share to keep.
  bool isIdle() const { return this->Buckets.empty(); }

  /// Which regions have had their share of moves for now.
  struct Verdict {
    /// Should get requests only when others have no room.
    std::set<std::string> Full;
    /// Must get none, unless servers have been lost.
    std::set<std::string> Closed;
  };
  Verdict judge(Clock::time_point Now);
  void note(const std::string &Region, Clock::time_point Now);

private:
  struct Bucket {
    Clock::time_point Start;
    std::map<std::string, int> Counts;
  };
  void expire(Clock::time_point Now);

  double MostShift;
  std::map<std::string, double> Start;
  std::deque<Bucket> Buckets;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_SHIFTLIMITER_H
