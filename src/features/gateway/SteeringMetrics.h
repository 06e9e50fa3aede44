#ifndef REDWINGRACK_GATEWAY_STEERINGMETRICS_H
#define REDWINGRACK_GATEWAY_STEERINGMETRICS_H

#include "base/Clock.h"
#include "gateway/SteeringState.h"
#include "tables/TableStore.h"
#include "telemetry/Metrics.h"

namespace rr {

/// Sets the gauges that describe what the instance knows and holds.
void describeState(SteeringState &State, Metrics &Counters,
                   Clock::time_point Now);

/// The same tables; each call is counted with its result.
TableStore countCalls(TableStore Store, Metrics &Counters);

/// Short name of \p Standing for a label.
const char *standingName(CacheAffinity Standing);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_STEERINGMETRICS_H
