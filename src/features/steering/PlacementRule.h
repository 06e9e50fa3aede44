#ifndef REDWINGRACK_STEERING_PLACEMENTRULE_H
#define REDWINGRACK_STEERING_PLACEMENTRULE_H

#include "steering/Placement.h"
#include "steering/PlacementQuery.h"
#include "steering/ProcessingTimes.h"
#include "steering/RoundTripTimes.h"

#include <functional>
#include <vector>

namespace rr {

/// Decides whether a cold server may get one more request now.
using ColdPermit = std::function<bool(const BackendState &)>;

/// Chooses the server with the least estimated cost for the caller: way,
/// work, wait, and the load that the answer puts on links between availability
/// zones. Sticky routes prefer servers that hold the object.
Placement choosePlacement(const PlacementQuery &Query,
                          const std::vector<BackendPtr> &Servers,
                          const ProcessingTimes &Work,
                          const RoundTripTimes &Network,
                          const ColdPermit &Permit, Clock::time_point Now);

/// Notes that a request for an object goes to the server.
void recordObjectUse(BackendState &Server, std::uint64_t Object,
                     Clock::time_point Now);

} // namespace rr

#endif // REDWINGRACK_STEERING_PLACEMENTRULE_H
