#ifndef REDWINGRACK_GATEWAY_STEERINGMETRICS_H
#define REDWINGRACK_GATEWAY_STEERINGMETRICS_H

#include "base/Clock.h"
#include "gateway/SteeringState.h"
#include "tables/TableStore.h"
#include "telemetry/Metrics.h"

namespace rr {

/// Sets the gauges for the instance's state.
void updateStateMetrics(SteeringState &State, Metrics &Counters,
                        Clock::time_point Now);

/// Wraps \p Store so that each call is counted by result.
TableStore withCallCounters(TableStore Store, Metrics &Counters);

/// Name of \p Standing for a metric label.
const char *cacheAffinityName(CacheAffinity Standing);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_STEERINGMETRICS_H
