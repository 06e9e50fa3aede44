#ifndef REDWINGRACK_STEERING_COSTMODEL_H
#define REDWINGRACK_STEERING_COSTMODEL_H

#include "steering/CacheAffinity.h"
#include "steering/CostCorrections.h"
#include "steering/PlacementQuery.h"
#include "steering/RequestCost.h"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace rr {

/// What the requests of a route cost at a service.
struct RouteCost {
  /// HitShare is set by costAt().
  RequestCost Cost;
  /// Share of hits, by CacheAffinity.
  std::array<double, CacheAffinityCount> HitShare{};
  std::array<int, CacheAffinityCount> HitSamples{};
  double AnswerBytes = 0;
  int HitTimes = 0;
  int MissTimes = 0;
};

/// Learns costs from answers, by service and route, with corrections for
/// objects and workspaces.
class CostModel {
public:
  CostModel();

  /// Costs of the route; until answers are seen, derived from the route's
  /// target latency.
  RouteCost routeCost(const SteeringRoute &Route,
                      const std::string &Service) const;

  /// Correction for the request's object and workspace.
  double correction(const PlacementQuery &Query) const;

  /// Records that a request ran for \p Work at a server that had to do nothing
  /// else first. Returns the ratio to the expected work of the case, hit or
  /// miss, usual or heavy, that explains it best.
  double record(const PlacementQuery &Query, CacheAffinity Affinity,
                Seconds Work, std::size_t AnswerBytes);

private:
  /// By service, then route.
  std::map<std::string, std::map<std::string, RouteCost, std::less<>>,
           std::less<>>
      Costs;
  std::size_t Routes = 0;
  CostCorrections Objects;
  CostCorrections Workspaces;
};

/// Whether servers work faster on the query if they have its object cached.
bool usesCache(const PlacementQuery &Query);

/// Cost at a server of the given affinity.
RequestCost costAt(const RouteCost &Route, const PlacementQuery &Query,
                   double Correction, CacheAffinity Affinity);

} // namespace rr

#endif // REDWINGRACK_STEERING_COSTMODEL_H
