#ifndef REDWINGRACK_STEERING_SHIFTLIMITER_H
#define REDWINGRACK_STEERING_SHIFTLIMITER_H

#include "base/Clock.h"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace rr {

/// Limits how fast the share of requests that each region serves grows from one
/// window to the next.
class ShiftLimiter {
public:
  /// \p MaxShift is the share of requests that may move to another region
  /// between two windows.
  explicit ShiftLimiter(double MaxShift) : MaxShift(MaxShift) {}

  /// Sets the shares by region that are assumed before the first request.
  void setInitialShares(std::map<std::string, double> Shares) {
    this->InitialShares = std::move(Shares);
  }

  /// Whether no request was recorded recently.
  bool isIdle() const { return this->Buckets.empty(); }

  /// Regions whose share has grown to the limit.
  struct RegionLimits {
    /// Receive requests only when the other regions are full.
    std::set<std::string> Deprioritized;
    /// Receive no requests, unless servers have been lost.
    std::set<std::string> Blocked;
  };
  RegionLimits evaluate(Clock::time_point Now);
  void recordRequest(const std::string &Region, Clock::time_point Now);

private:
  struct Bucket {
    Clock::time_point Start;
    std::map<std::string, int> Counts;
  };
  struct RegionCounts {
    std::map<std::string, double> ByRegion;
    double Total = 0;
  };
  void expire(Clock::time_point Now);
  /// Requests in the buckets that start after \p From and not after \p Until.
  RegionCounts countRequests(Clock::time_point From,
                             Clock::time_point Until) const;
  /// Lists \p Region if its share has grown by \p Increase, 0 to 1. It is
  /// blocked above \p MaxFraction of the permitted shift.
  void limitRegion(RegionLimits &Limits, const std::string &Region,
                   double Increase, double MaxFraction) const;

  double MaxShift;
  std::map<std::string, double> InitialShares;
  std::deque<Bucket> Buckets;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_SHIFTLIMITER_H
