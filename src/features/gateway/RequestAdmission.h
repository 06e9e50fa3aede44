#ifndef REDWINGRACK_GATEWAY_REQUESTADMISSION_H
#define REDWINGRACK_GATEWAY_REQUESTADMISSION_H

#include "gateway/GatewayRequest.h"
#include "gateway/SteeringState.h"

#include <variant>

namespace rr {

/// Either the admitted request or the reply that refuses it.
using AdmissionResult = std::variant<GatewayRequest, HttpMessage>;

/// Checks the route, key, regions and deadline of a request. The rate of the
/// workspace is not checked here. \p Jitter (0 to 1) spreads the Retry-After
/// times of refusals.
AdmissionResult admitRequest(SteeringState &State, HttpMessage Message,
                             CancellationPtr Cancel, double Jitter,
                             Clock::time_point Now);

/// Refusal of a request that exceeds the rate of its workspace. Tokens are
/// expected after \p Wait.
HttpMessage rateRefusal(Clock::duration Wait, double Jitter);

/// Time that the caller waits according to the deadline header; none if the
/// header is missing or malformed.
std::optional<Clock::duration> callerTimeout(const HttpMessage &Message,
                                             const GatewayHeaders &Names);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_REQUESTADMISSION_H
