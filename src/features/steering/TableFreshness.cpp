#include "steering/TableFreshness.h"

#include <algorithm>

namespace rr {

namespace {

constexpr Clock::duration MaxReadAge = std::chrono::milliseconds(500);
/// Longer than a read of orders waits at the store for changes.
constexpr Clock::duration MaxOrdersAge = std::chrono::milliseconds(2600);
/// From the choice of a server to the arrival of the request there: a question
/// to the holder of the workspace's rate, a new connection and the way.
constexpr Clock::duration MaxPlacementTime = std::chrono::milliseconds(600);

Clock::time_point oldest(const TableTimes &Known) {
  return std::min({Known.Orders, Known.Backends, Known.Members});
}

} // namespace

bool followsTables(const TableTimes &Known, Clock::time_point InServiceSince) {
  return oldest(Known) >= InServiceSince;
}

bool wereJustRead(const TableTimes &Known, Clock::time_point Now) {
  return oldest(Known) + MaxReadAge >= Now;
}

bool areOrdersCurrent(const TableTimes &Known, Clock::time_point Now) {
  return Known.Orders + MaxOrdersAge >= Now;
}

bool areBackendsCurrent(const TableTimes &Known, Clock::time_point Now,
                        Clock::duration DrainTime) {
  return Known.Backends +
             std::max(DrainTime - MaxPlacementTime, DrainTime / 2) >=
         Now;
}

} // namespace rr
