#ifndef REDWINGRACK_STEERING_OBSERVEDLOAD_H
#define REDWINGRACK_STEERING_OBSERVEDLOAD_H

#include "base/Clock.h"
#include "steering/BackendState.h"

namespace rr {

/// Requests that run or wait at the server, estimated from its last report
/// and this instance's own requests.
double estimatedLoad(const BackendState &Server, Clock::time_point Now);

/// Takes a load that the server reported with an answer.
void noteLoad(BackendState &Server, const LoadSample &Sample,
              Clock::time_point Now);

/// The server turned a request away without telling its load.
void assumeFull(BackendState &Server, Clock::time_point Now);

/// How much longer than expected the server takes; returns to 1 with time.
double currentSlowness(const BackendState &Server, Clock::time_point Now);
void noteSlowness(BackendState &Server, double Ratio, Clock::time_point Now);

/// Share of attempts that fail at the server; returns to 0 with time.
double currentFailureShare(const BackendState &Server, Clock::time_point Now);
void noteAttempt(BackendState &Server, bool Failed, Clock::time_point Now);

/// No connection or no answer: keeps requests away for a while that doubles.
void noteUnreachable(BackendState &Server, Clock::time_point Now);
void noteReachable(BackendState &Server);

} // namespace rr

#endif // REDWINGRACK_STEERING_OBSERVEDLOAD_H
