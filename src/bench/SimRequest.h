#ifndef REDWINGRACK_BENCH_SIMREQUEST_H
#define REDWINGRACK_BENCH_SIMREQUEST_H

#include "base/Clock.h"

#include <cstddef>
#include <memory>

namespace rr {

/// A request of the simulation.
struct SimRequest {
  std::size_t Workspace = 0;
  std::size_t Service = 0;
  /// Instance at which it arrived, and the region of that instance.
  std::size_t Entry = 0;
  std::size_t Region = 0;
  Clock::time_point Arrived{};
  Clock::time_point Deadline{};
  bool MayRetry = false;
  /// Decided before; sent to another region; refusals by owners so far.
  bool Again = false;
  bool OverflowNoted = false;
  bool Spilled = false;
  int Refusals = 0;
};

using SimRequestPtr = std::shared_ptr<SimRequest>;

} // namespace rr

#endif // REDWINGRACK_BENCH_SIMREQUEST_H
