#include "steering/ShiftLimiter.h"

#include <algorithm>

namespace rr {

namespace {

constexpr Clock::duration Window = std::chrono::seconds(2);
constexpr Clock::duration BucketTime = std::chrono::milliseconds(100);
/// Fraction of the permitted shift above which a region is deprioritized; the
/// rest covers random variation and the other instances of the region.
constexpr double DeprioritizeFraction = 0.6;
/// Fraction of the permitted shift above which a region is blocked.
constexpr double BlockFraction = 0.9;
/// Minimum requests per window for meaningful shares.
constexpr int MinRequests = 12;

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

ShiftLimiter::RegionLimits ShiftLimiter::evaluate(Clock::time_point Now) {
  this->expire(Now);
  std::map<std::string, double> Current;
  std::map<std::string, double> Previous;
  double CurrentTotal = 0;
  double PreviousTotal = 0;
  for (const Bucket &Item : this->Buckets) {
    const bool IsCurrent = Item.Start > Now - Window;
    for (const auto &[Region, Count] : Item.Counts) {
      (IsCurrent ? Current : Previous)[Region] += Count;
      (IsCurrent ? CurrentTotal : PreviousTotal) += Count;
    }
  }
  // The initial shares fill up a window with few requests.
  const double Missing = std::max(0.0, MinRequests - PreviousTotal);
  for (const auto &[Region, Share] : this->InitialShares) {
    Previous[Region] += Share * Missing;
    PreviousTotal += Share * Missing;
  }
  RegionLimits Result;
  if (PreviousTotal < MinRequests - 1)
    return Result;
  const double Total = std::max(CurrentTotal + 1, double(MinRequests));
  for (const auto &[Region, Count] : Current) {
    const double Before = Previous[Region] / PreviousTotal;
    const double Increase = (Count + 1) / Total - Before;
    if (Increase > DeprioritizeFraction * this->MaxShift)
      Result.Deprioritized.insert(Region);
    if (Increase > BlockFraction * this->MaxShift)
      Result.Blocked.insert(Region);
  }
  return Result;
}

} // namespace rr
