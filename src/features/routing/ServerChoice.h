#ifndef REDWINGRACK_ROUTING_SERVERCHOICE_H
#define REDWINGRACK_ROUTING_SERVERCHOICE_H

#include "base/Random.h"
#include "routing/ServerState.h"

#include <memory>
#include <span>

namespace rr {

using ServerPtr = std::shared_ptr<ServerState>;

/// Of two random servers with a free slot and of \p Health, the one with the
/// lower score. Null when there is none. \p Servers are of one version.
ServerPtr chooseServer(std::span<const ServerPtr> Servers,
                       Ejection::Health Health, RandomEngine &Random,
                       Clock::time_point Now);

/// An ejected server whose single trial is due. Only requests that may be
/// sent again serve as trials, unless a trial is overdue.
ServerPtr chooseTrial(std::span<const ServerPtr> Servers, bool MayRetry,
                      Clock::time_point Now);

/// Average answer time of the servers that have one.
std::chrono::nanoseconds meanLatency(std::span<const ServerPtr> Servers);

} // namespace rr

#endif // REDWINGRACK_ROUTING_SERVERCHOICE_H
