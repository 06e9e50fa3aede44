#ifndef REDWINGRACK_BENCH_SIMSERVER_H
#define REDWINGRACK_BENCH_SIMSERVER_H

#include "base/Clock.h"
#include "routing/RequestOutcome.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace rr {

/// A backend server of the simulation. Requests beyond its slots wait in it.
struct SimServer {
  /// A request that waits for a slot.
  struct Waiting {
    Clock::time_point Deadline;
    std::function<void(RequestOutcome)> Done;
  };

  std::string Name;
  std::size_t Service = 0;
  std::size_t Zone = 0;
  std::size_t Region = 0;
  std::uint32_t Slots = 0;
  double Slowness = 1;
  bool Fails = false;
  bool ReportsNoLoad = false;
  std::uint32_t Running = 0;
  std::deque<Waiting> Queue;

  std::size_t load() const { return this->Running + this->Queue.size(); }
  double reportedLoad() const {
    return this->ReportsNoLoad ? 0 : double(this->Running) / this->Slots;
  }
};

} // namespace rr

#endif // REDWINGRACK_BENCH_SIMSERVER_H
