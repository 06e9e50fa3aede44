#ifndef REDWINGRACK_BENCH_LIMITSWORKLOAD_H
#define REDWINGRACK_BENCH_LIMITSWORKLOAD_H

#include "bench/LimitsScenario.h"

#include <array>
#include <string>
#include <vector>

namespace rr {

constexpr std::size_t BenchInstances = 12;
constexpr std::size_t BenchZones = 6;
constexpr std::size_t BenchRegions = 3;
constexpr std::size_t BenchWorkspaces = 8;

/// Requests per second; a few workspaces are large.
constexpr std::array<double, BenchWorkspaces> BenchRates = {1000, 600, 300, 100,
                                                            50,   20,  5,   2};
constexpr std::array<double, BenchWorkspaces> BenchBursts = {500, 300, 150, 50,
                                                             25,  10,  5,   5};

inline std::size_t zoneOf(std::size_t Instance) { return Instance / 2; }
inline std::size_t regionOf(std::size_t Instance) { return Instance / 4; }
inline std::string workspaceName(std::size_t Workspace) {
  return "w" + std::to_string(Workspace);
}

/// A request and where it arrives.
struct LimitsArrival {
  Clock::duration At;
  std::size_t Workspace;
  std::size_t Instance;
};

/// Arrivals of a whole run, in the order of time: Poisson for each workspace,
/// divided among the instances by a Zipf law of exponent 1.2 whose order is
/// drawn anew when the demand moves.
std::vector<LimitsArrival> makeArrivals(const LimitsScenario &Scenario);

} // namespace rr

#endif // REDWINGRACK_BENCH_LIMITSWORKLOAD_H
