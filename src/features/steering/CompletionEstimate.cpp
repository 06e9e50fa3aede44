#include "steering/CompletionEstimate.h"

#include "steering/ObservedLoad.h"

#include <algorithm>

namespace rr {

namespace {

/// Processing time factor of cold servers.
constexpr double ColdSlowdown = 2;

} // namespace

CompletionEstimate estimateAt(const PlacementQuery &Query,
                              const QueryCost &Cost, const BackendState &Server,
                              CacheAffinity Affinity, Clock::duration RoundTrip,
                              Clock::time_point Now) {
  const ServerBacklog &Backlog = Server.Backlog;
  CompletionEstimate Result;
  Result.Affinity = Affinity;
  Result.Cold = isCold(Server, Now);
  Result.Cost = costAt(Cost.Route, Query, Cost.Correction, Affinity);
  const double Lasting =
      lastingSlowness(Backlog, Now) * (Result.Cold ? ColdSlowdown : 1);
  const double Factor = currentWorkFactor(Backlog, Now);
  const int Slots = std::max(1, Server.Record.Slots);
  const BacklogEstimate Queue =
      estimateBacklog(Backlog, Slots, Server.InFlight, Cost.Usual, Now);
  const Seconds Wait = Lasting * Queue.Wait;
  const Seconds Work = Lasting * meanWork(Result.Cost);
  // A slow phase that ends during the wait slows only the wait.
  Result.Wait = slowedWork(Wait, Factor);
  Result.Work = slowedWork(Wait + Work, Factor) - Result.Wait;
  Result.RoundTrip = RoundTrip;
  Result.Load = (Queue.Others + Server.InFlight + 1) / Slots;
  return Result;
}

} // namespace rr
