#ifndef REDWINGRACK_STEERING_QUOTASIMULATIONLOAD_H
#define REDWINGRACK_STEERING_QUOTASIMULATIONLOAD_H

#include <cstddef>

namespace rr {

/// Workload of a QuotaSimulation.
struct QuotaSimulationLoad {
  enum class Policy {
    /// Each instance uses only its own share of a rate.
    PerInstance,
    /// The instances of a region pool their shares at a holder.
    RegionHolders,
    /// A single bucket for the fleet; the theoretical optimum.
    Central
  };

  unsigned Seed = 1;
  Policy SharingPolicy = Policy::RegionHolders;
  std::size_t Instances = 12;
  std::size_t Workspaces = 8;
  /// Sum of the workspaces' rates, which are unequal, in requests per second.
  double TotalRate = 800;
  /// Demand relative to the rate.
  double DemandRatio = 0.6;
  /// Amplitude of the sinusoidal demand, which is phase-shifted between
  /// regions.
  double WaveAmplitude = 0.55;
  /// Each workspace periodically sends three times its demand for a second, and
  /// less in between.
  bool Bursty = false;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_QUOTASIMULATIONLOAD_H
