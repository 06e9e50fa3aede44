#ifndef REDWINGRACK_BENCH_BASELINEPOLICY_H
#define REDWINGRACK_BENCH_BASELINEPOLICY_H

#include "bench/RoutingSimulation.h"

namespace rr {

/// Policies to compare with. Every instance sends to any server of its region;
/// when the reported load of the region is above 90%, to the region with the
/// lowest reported load. Reports arrive 0.3 s to 1.3 s late.
class BaselinePolicy {
public:
  enum class Kind { Random, RoundRobin, LeastReported };

  BaselinePolicy(RoutingSimulation &Simulation, Kind Choice);
  RoutingPolicy functions();

private:
  /// What one instance knows.
  struct View {
    std::vector<double> ReportedLoad;
    std::vector<std::size_t> Next;
  };

  void arrive(const SimRequestPtr &Request);
  void report();
  std::size_t chooseRegion(const SimRequest &Request) const;
  std::size_t chooseServer(View &Seen, std::size_t Region, std::size_t Service);

  RoutingSimulation &Simulation;
  Kind Choice;
  std::vector<View> Views;
  // Servers by region and service.
  std::vector<std::vector<std::size_t>> Groups;
};

} // namespace rr

#endif // REDWINGRACK_BENCH_BASELINEPOLICY_H
