#ifndef REDWINGRACK_STEERING_SIMULATEDSERVER_H
#define REDWINGRACK_STEERING_SIMULATEDSERVER_H

#include "base/Clock.h"
#include "base/Random.h"
#include "steering/LoadSample.h"
#include "steering/RequestCost.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <vector>

namespace rr {

/// A request at a simulated server.
struct SimulatedWork {
  std::optional<std::uint64_t> Object;
  /// Work without the cache at usual speed.
  Seconds Cold{0};
  Clock::time_point Arrived{};
  /// Called at the start with whether the object was cached, and with the time
  /// at which the work will be done.
  std::function<void(bool Cached, Clock::time_point Done)> Started;
};

/// A server with slots, a queue of three times as many, a cache of the objects
/// last used, and short slow phases of its machine.
class SimulatedServer {
public:
  /// Slow phases are drawn for the time from \p Start to \p End.
  SimulatedServer(int Slots, int CacheSize, double CachedPart,
                  std::uint64_t Seed, Clock::time_point Start,
                  Clock::time_point End);

  /// Takes the request or returns false if the queue is full.
  bool arrive(SimulatedWork Work, Clock::time_point Now);
  /// Ends one request and starts a waiting one.
  void finish(Clock::time_point Now);
  LoadSample report(Clock::time_point Now) const;

private:
  struct Phase {
    Clock::time_point Until;
    double Factor;
  };
  void start(SimulatedWork Work, Clock::time_point Now);
  bool touch(std::uint64_t Object);

  int Slots;
  std::size_t CacheSize;
  double CachedPart;
  std::vector<Phase> Phases;
  int Running = 0;
  std::deque<SimulatedWork> Waiting;
  std::list<std::uint64_t> Cache;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_SIMULATEDSERVER_H
