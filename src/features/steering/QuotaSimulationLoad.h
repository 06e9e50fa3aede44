#ifndef REDWINGRACK_STEERING_QUOTASIMULATIONLOAD_H
#define REDWINGRACK_STEERING_QUOTASIMULATIONLOAD_H

#include <cstddef>

namespace rr {

/// What a QuotaSimulation plays.
struct QuotaSimulationLoad {
  enum class Policy {
    /// Each instance uses its part of a rate.
    PerInstance,
    /// The instances of a region hold their parts together.
    RegionHolders,
    /// One bucket for all: the limit of what can be had.
    Central
  };

  unsigned Seed = 1;
  Policy SharingPolicy = Policy::RegionHolders;
  std::size_t Instances = 12;
  std::size_t Workspaces = 8;
  /// Rates of all workspaces together, in requests a second; they are unequal.
  double TotalRate = 800;
  /// Demand as a part of the rate.
  double DemandRatio = 0.6;
  /// Demand comes in waves that reach one region after the other.
  double WaveAmplitude = 0.55;
  /// Each workspace sends three times as much for a second now and then, and
  /// less in between.
  bool Bursty = false;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_QUOTASIMULATIONLOAD_H
