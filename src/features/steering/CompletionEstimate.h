#ifndef REDWINGRACK_STEERING_COMPLETIONESTIMATE_H
#define REDWINGRACK_STEERING_COMPLETIONESTIMATE_H

#include "base/Clock.h"
#include "steering/BackendState.h"
#include "steering/CacheAffinity.h"
#include "steering/CostModel.h"
#include "steering/ServerBacklog.h"

namespace rr {

/// When a request would be done at a server.
struct CompletionEstimate {
  CacheAffinity Affinity = CacheAffinity::Other;
  bool Cold = false;
  Seconds RoundTrip{0};
  /// Time in the server's queue.
  Seconds Wait{0};
  /// Time of the work, with the speed of the machine.
  Seconds Work{0};
  /// Work at usual speed.
  RequestCost Cost;
  /// Expected requests at the server, this one included, by slot.
  double Load = 0;

  Seconds total() const { return this->RoundTrip + this->Wait + this->Work; }
};

/// Costs of a query that do not depend on the server.
struct QueryCost {
  RouteCost Route;
  double Correction = 1;
  UsualLoad Usual;
};

CompletionEstimate estimateAt(const PlacementQuery &Query,
                              const QueryCost &Cost, const BackendState &Server,
                              CacheAffinity Affinity, Clock::duration RoundTrip,
                              Clock::time_point Now);

} // namespace rr

#endif // REDWINGRACK_STEERING_COMPLETIONESTIMATE_H
