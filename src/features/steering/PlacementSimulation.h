#ifndef REDWINGRACK_STEERING_PLACEMENTSIMULATION_H
#define REDWINGRACK_STEERING_PLACEMENTSIMULATION_H

#include "steering/CompletionCalibration.h"
#include "steering/RequestCost.h"

#include <array>
#include <cstdint>

namespace rr {

/// Servers of one service, and instances that know of them only what answers
/// say.
struct PlacementScenario {
  int Servers = 12;
  int Slots = 5;
  int Instances = 30;
  bool ByCost = true;
  std::uint64_t Seed = 1;
  /// Objects for each server; 0 for requests without an object.
  int ObjectsPerServer = 12;
  /// Exponent of the popularity of objects; 0 for equal popularity.
  double Skew = 0.6;
  /// Objects that a server keeps.
  int CacheSize = 20;
  Seconds ColdWork{1.5};
  double CachedPart = 0.3;
  Seconds Target{1.2};
  /// Load, as the share of all slots that is used if all work is cached, or if
  /// none is when there are no objects.
  double Use = 0.33;
  Seconds WarmUp{30};
  Seconds Length{60};
  Seconds RoundTrip{0.002};
  int MaxAttempts = 2;
};

struct PlacementOutcome {
  int Requests = 0;
  /// Requests sent to servers, and those that a server refused.
  int Arrivals = 0;
  int RefusedArrivals = 0;
  /// Requests that no server ran.
  int Refused = 0;
  int InTime = 0;
  int Late = 0;
  int CachedRuns = 0;
  int Runs = 0;
  /// Sum of the time in servers' queues, and requests that waited for longer
  /// than a tenth of the target.
  Seconds Wait{0};
  int LongWaits = 0;
  /// Answers by the decile of their predicted distribution.
  std::array<int, CompletionDeciles> Deciles{};

  double refusedArrivalShare() const;
  double refusedShare() const;
  double inTimeShare() const;
  double cachedShare() const;
  Seconds meanWait() const;
  double longWaitShare() const;
};

/// Runs the scenario on the paused clock.
PlacementOutcome simulatePlacement(const PlacementScenario &Scenario);

} // namespace rr

#endif // REDWINGRACK_STEERING_PLACEMENTSIMULATION_H
