#ifndef REDWINGRACK_STEERING_PLACEMENTRULE_H
#define REDWINGRACK_STEERING_PLACEMENTRULE_H

#include "steering/Placement.h"
#include "steering/PlacementQuery.h"
#include "steering/ProcessingTimes.h"
#include "steering/RoundTripTimes.h"

#include <functional>
#include <vector>

namespace rr {

/// Decides whether a server that is cold or named a limit may get one more
/// request now.
using RequestPermit = std::function<bool(const BackendState &)>;

/// Chooses the server with the lowest estimated cost: round-trip, processing
/// and queueing time, failure rate, and answer transfer between availability
/// zones. Sticky routes prefer servers that have the object cached.
Placement choosePlacement(const PlacementQuery &Query,
                          const std::vector<BackendPtr> &Servers,
                          const ProcessingTimes &Work,
                          const RoundTripTimes &Network,
                          const RequestPermit &Permit, Clock::time_point Now);

/// Records that a request for an object is sent to the server.
void recordObjectUse(BackendState &Server, std::uint64_t Object,
                     Clock::time_point Now);

} // namespace rr

#endif // REDWINGRACK_STEERING_PLACEMENTRULE_H
