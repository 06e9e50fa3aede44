#ifndef REDWINGRACK_STEERING_PLACEMENTELIGIBILITY_H
#define REDWINGRACK_STEERING_PLACEMENTELIGIBILITY_H

#include "steering/BackendState.h"
#include "steering/PlacementQuery.h"
#include "steering/RequestCost.h"

#include <string>

namespace rr {

/// Whether the server may get the request at all.
bool isEligible(const PlacementQuery &Query, const BackendState &Server,
                Clock::time_point Now);

/// Whether this instance recently sent a request for the query's object to the
/// server.
bool wasRecentlyUsed(const PlacementQuery &Query, const BackendState &Server,
                     Clock::time_point Now);

/// Time that the transfer of an answer of \p AnswerBytes from the server's zone
/// and region counts for.
Seconds transferCost(const PlacementQuery &Query, const BackendState &Server,
                     const std::string &Zone, const std::string &Region,
                     double AnswerBytes);

} // namespace rr

#endif // REDWINGRACK_STEERING_PLACEMENTELIGIBILITY_H
