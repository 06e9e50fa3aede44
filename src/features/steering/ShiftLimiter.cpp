#include "steering/ShiftLimiter.h"

#include <algorithm>
#include <array>

namespace rr {

namespace {

constexpr Clock::duration Window = std::chrono::seconds(2);
constexpr Clock::duration BucketTime = std::chrono::milliseconds(100);
/// Fraction of the permitted shift above which a region is deprioritized; the
/// rest covers random variation and the other instances of the region.
constexpr double DeprioritizeFraction = 0.6;
/// Fraction of the permitted shift above which a region is blocked.
constexpr double BlockFraction = 0.9;
/// The same after a drop of the traffic: each instance then has few requests,
/// so that one request more is a large share.
constexpr double BlockFractionAfterDrop = 0.75;
/// Minimum requests per window for meaningful shares.
constexpr int MinRequests = 12;
/// When traffic drops, most of the window still holds requests from before the
/// drop, which would permit that all later ones move to another region. The
/// shares in these last parts of the window are then limited as well.
constexpr std::array<Clock::duration, 5> RecentSpans = {
    std::chrono::milliseconds(1900), std::chrono::milliseconds(1500),
    std::chrono::milliseconds(1000), std::chrono::milliseconds(500),
    std::chrono::milliseconds(250)};
/// Traffic has dropped if the rate in such a part is below this fraction of the
/// rate in the window; random variation rarely reaches it.
constexpr double DroppedRateFraction = 0.75;

} // namespace

void ShiftLimiter::expire(Clock::time_point Now) {
  while (!this->Buckets.empty() &&
         this->Buckets.front().Start + 2 * Window < Now)
    this->Buckets.pop_front();
}

void ShiftLimiter::recordRequest(const std::string &Region,
                                 Clock::time_point Now) {
  this->expire(Now);
  if (this->Buckets.empty() || this->Buckets.back().Start + BucketTime <= Now)
    this->Buckets.push_back({Now, {}});
  ++this->Buckets.back().Counts[Region];
}

ShiftLimiter::RegionCounts
ShiftLimiter::countRequests(Clock::time_point From,
                            Clock::time_point Until) const {
  RegionCounts Result;
  for (const Bucket &Item : this->Buckets) {
    if (Item.Start <= From || Item.Start > Until)
      continue;
    for (const auto &[Region, Count] : Item.Counts) {
      Result.ByRegion[Region] += Count;
      Result.Total += Count;
    }
  }
  return Result;
}

ShiftLimiter::RegionLimits ShiftLimiter::evaluate(Clock::time_point Now) {
  this->expire(Now);
  const RegionCounts Current = this->countRequests(Now - Window, Now);
  RegionCounts Previous =
      this->countRequests(Clock::time_point::min(), Now - Window);
  // The initial shares fill up a window with few requests.
  const double Missing = std::max(0.0, MinRequests - Previous.Total);
  for (const auto &[Region, Share] : this->InitialShares) {
    Previous.ByRegion[Region] += Share * Missing;
    Previous.Total += Share * Missing;
  }
  RegionLimits Result;
  if (Previous.Total < MinRequests - 1)
    return Result;
  const double Total = std::max(Current.Total + 1, double(MinRequests));
  for (const auto &[Region, Count] : Current.ByRegion) {
    const double Before = Previous.ByRegion[Region] / Previous.Total;
    this->limitRegion(Result, Region, (Count + 1) / Total - Before,
                      BlockFraction);
  }
  for (const Clock::duration Span : RecentSpans) {
    RegionCounts Recent = this->countRequests(Now - Span, Now);
    const double Expected =
        Current.Total * double(Span.count()) / double(Window.count());
    if (Recent.Total >= DroppedRateFraction * Expected)
      continue;
    // The previous shares fill up a span with few requests.
    const double Fill = std::max(0.0, MinRequests - (Recent.Total + 1));
    for (const auto &[Region, Count] : Current.ByRegion) {
      const double Before = Previous.ByRegion[Region] / Previous.Total;
      const double Share = (Recent.ByRegion[Region] + 1 + Fill * Before) /
                           std::max(Recent.Total + 1, double(MinRequests));
      this->limitRegion(Result, Region, Share - Before, BlockFractionAfterDrop);
    }
  }
  return Result;
}

void ShiftLimiter::limitRegion(RegionLimits &Limits, const std::string &Region,
                               double Increase, double MaxFraction) const {
  if (Increase > DeprioritizeFraction * this->MaxShift)
    Limits.Deprioritized.insert(Region);
  if (Increase > MaxFraction * this->MaxShift)
    Limits.Blocked.insert(Region);
}

} // namespace rr
