#ifndef REDWINGRACK_BENCH_ROUTINGSCENARIO_H
#define REDWINGRACK_BENCH_ROUTINGSCENARIO_H

#include "model/FleetConfig.h"
#include "routing/OwnerMember.h"

#include <chrono>

namespace rr {

/// A deployment with load and faults for the policy simulation.
struct RoutingScenario {
  /// Service times and sizes; the design page gives none.
  struct Service {
    std::string Name;
    std::chrono::microseconds Time{0};
    double Bytes = 0;
  };

  std::string Name;
  FleetConfig Config;
  std::vector<std::string> Regions;
  std::vector<OwnerMember> Instances;
  std::vector<Service> Services;
  std::vector<double> WorkspaceWeights{30, 25, 20, 10, 5, 4, 3, 3};
  std::chrono::microseconds ZoneLatency{1000};
  std::chrono::microseconds RegionLatency{0};
  std::chrono::microseconds ClientLatency{0};
  double LinkBytesPerSecond = 0;
  /// Share of all slots that the load needs before one region doubles.
  double BaseLoad = 0.55;
  /// Region 0 has its load doubled from DoubledFrom on.
  std::chrono::seconds DoubledFrom{15};
  /// Figures count from WarmUp to End.
  std::chrono::seconds WarmUp{5};
  std::chrono::seconds End{45};
  /// Servers with faults: one answers five times slower, one fails all, one is
  /// three times slower and reports no load.
  std::string SlowServer;
  std::string FailingServer;
  std::string LyingServer;
};

RoutingScenario deploymentA();
RoutingScenario deploymentB();

} // namespace rr

#endif // REDWINGRACK_BENCH_ROUTINGSCENARIO_H
