#ifndef REDWINGRACK_BENCH_LIMITSSCENARIO_H
#define REDWINGRACK_BENCH_LIMITSSCENARIO_H

#include "base/Clock.h"

#include <cstdint>
#include <optional>

namespace rr {

/// What one simulated run looks like.
struct LimitsScenario {
  std::uint64_t Seed = 1;
  std::chrono::seconds Length{60};
  /// One way, between regions.
  std::chrono::milliseconds BetweenRegions{35};
  /// Demand of each workspace as a part of its rate.
  double Load = 0.8;
  /// Whether demand moves to other instances every 3 to 8 s.
  bool Moving = true;
  /// Workspace that sends ten times its rate; none when negative.
  int Loud = -1;
  /// The last region is cut off from the others and the store.
  std::optional<Clock::duration> CutAt;
  Clock::duration CutTime{};
  /// Instance 5 ends, and starts anew after RestartTime.
  std::optional<Clock::duration> KillAt;
  Clock::duration RestartTime{};
};

} // namespace rr

#endif // REDWINGRACK_BENCH_LIMITSSCENARIO_H
