#ifndef REDWINGRACK_GATEWAY_REQUESTADMISSION_H
#define REDWINGRACK_GATEWAY_REQUESTADMISSION_H

#include "gateway/GatewayRequest.h"
#include "gateway/SteeringState.h"

#include <variant>

namespace rr {

/// Either the request to forward, or the answer that refuses it.
using AdmissionResult = std::variant<GatewayRequest, HttpMessage>;

/// Checks route, key and time of a request; the rate is left to the caller. \p
/// Jitter in 0..1 spreads the times at which refused callers come back.
AdmissionResult admitRequest(SteeringState &State, HttpMessage Message,
                             CancellationPtr Cancel, double Jitter,
                             Clock::time_point Now);

/// Refuses a request beyond its workspace's rate, which has room after
/// \p Wait.
HttpMessage rateRefusal(Clock::duration Wait, double Jitter);

/// How long the caller waits, as the request says; none when it does not.
std::optional<Clock::duration> callerTimeout(const HttpMessage &Message,
                                             const GatewayHeaders &Names);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_REQUESTADMISSION_H
