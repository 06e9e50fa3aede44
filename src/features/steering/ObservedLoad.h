#ifndef REDWINGRACK_STEERING_OBSERVEDLOAD_H
#define REDWINGRACK_STEERING_OBSERVEDLOAD_H

#include "base/Clock.h"
#include "steering/BackendState.h"

namespace rr {

/// Estimated number of running and waiting requests at the server, from its
/// last report and this instance's own requests.
double estimatedLoad(const BackendState &Server, Clock::time_point Now);

/// Records a load that the server reported with an answer.
void noteLoad(BackendState &Server, const LoadSample &Sample,
              Clock::time_point Now);

/// Assumes a full queue after the server rejected a request without reporting
/// its load.
void assumeFull(BackendState &Server, Clock::time_point Now);

/// Whether the server is cold, or may be.
bool isCold(const BackendState &Server, Clock::time_point Now);

/// Ratio of actual to expected answer time; decays to 1.
double currentSlowness(const BackendState &Server, Clock::time_point Now);
void noteSlowness(BackendState &Server, double Ratio, Clock::time_point Now);

/// Share of attempts that fail at the server; decays to 0.
double currentFailureShare(const BackendState &Server, Clock::time_point Now);
void noteAttempt(BackendState &Server, bool Failed, Clock::time_point Now);

/// Records that the server gave no connection or no answer. Blocks requests to
/// it for a time that doubles up to a limit.
void noteUnreachable(BackendState &Server, Clock::time_point Now);
void noteReachable(BackendState &Server);

} // namespace rr

#endif // REDWINGRACK_STEERING_OBSERVEDLOAD_H
