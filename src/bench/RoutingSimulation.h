#ifndef REDWINGRACK_BENCH_ROUTINGSIMULATION_H
#define REDWINGRACK_BENCH_ROUTINGSIMULATION_H

#include "base/Random.h"
#include "bench/RoutingMetrics.h"
#include "bench/RoutingPolicy.h"
#include "bench/RoutingScenario.h"
#include "bench/SimServer.h"

#include <queue>

namespace rr {

/// Event simulation of callers, network and backend servers on the paused
/// clock. The same seed gives every policy the same arrivals.
class RoutingSimulation {
public:
  RoutingSimulation(const RoutingScenario &Scenario, std::uint64_t Seed);

  RoutingMetrics run(const RoutingPolicy &Policy);

  /// Calls \p Action after \p Delay.
  void after(Clock::duration Delay, std::function<void()> Action);
  /// Hands a request to a server; \p Done is called when it ends. A request
  /// that still waits at its deadline is dropped as Abandoned.
  void startOnServer(std::size_t Server, const SimRequest &Request,
                     std::function<void(RequestOutcome)> Done);
  /// Counts a request and its answer on the links between two regions.
  void countTransfer(std::size_t From, std::size_t To, double Bytes);
  void countSpill(std::size_t ToRegion, std::size_t Service);
  /// The request has ended at its entry instance.
  void end(const SimRequest &Request, RoutingMetrics::End How);

  /// One-way latency between two zones.
  Clock::duration latency(std::size_t FromZone, std::size_t ToZone) const;
  std::size_t zoneOfInstance(std::size_t Instance) const {
    return Instance / 2;
  }
  std::size_t regionOfZone(std::size_t Zone) const { return Zone / 2; }
  const RoutingScenario &scenario() const { return this->Scenario; }
  std::vector<SimServer> &servers() { return this->Servers; }
  /// Randomness of the policy, apart from that of arrivals and servers.
  RandomEngine &random() { return this->PolicyRandom; }

private:
  struct Event {
    Clock::time_point At;
    std::uint64_t Order;
    std::function<void()> Action;
    bool operator<(const Event &Other) const {
      return this->At != Other.At ? this->At > Other.At
                                  : this->Order > Other.Order;
    }
  };

  void scheduleArrivals(const RoutingPolicy &Policy, std::size_t Region,
                        std::size_t Service);
  void arrive(const RoutingPolicy &Policy, std::size_t Region,
              std::size_t Service);
  void repeat(Clock::duration Interval, const std::function<void()> &Action);
  void execute(std::size_t Server, std::function<void(RequestOutcome)> Done);
  void startNext(std::size_t Server);
  void sample();
  double arrivalRate(std::size_t Region, std::size_t Service) const;
  bool isCounted() const;

  const RoutingScenario &Scenario;
  RandomEngine ArrivalRandom;
  RandomEngine ServerRandom;
  RandomEngine PolicyRandom;
  std::vector<SimServer> Servers;
  std::priority_queue<Event> Events;
  std::uint64_t NextOrder = 0;
  Clock::time_point Started;
  std::vector<double> LinkBytes;
  RoutingMetrics Metrics;
};

} // namespace rr

#endif // REDWINGRACK_BENCH_ROUTINGSIMULATION_H
