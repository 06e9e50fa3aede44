#ifndef REDWINGRACK_STEERING_SERVERLIMITS_H
#define REDWINGRACK_STEERING_SERVERLIMITS_H

#include "base/Clock.h"
#include "steering/BackendPool.h"
#include "steering/ServerLimitReport.h"

#include <map>
#include <optional>
#include <string>

namespace rr {

/// Records what an answer of the server says about its limit. An answer without
/// one ends an earlier limit, unless the request was sent before that limit was
/// known. \p StoreTime is the store clock time now. Returns whether a limit
/// began or ended.
bool noteLimit(BackendState &Server, std::optional<double> RequestsPerSecond,
               Clock::time_point SentAt, Clock::time_point Now,
               Clock::duration StoreTime);

/// Adopts what another instance heard, if it is newer. Returns whether a limit
/// began or ended.
bool adoptLimit(BackendState &Server, const ServerLimitReport &Report,
                Clock::time_point Now);

/// The limit of the server, in requests per second from all instances; empty if
/// there is none. A limit that no instance heard of for some time has lapsed.
std::optional<double> currentLimit(const BackendState &Server,
                                   Clock::duration StoreTime);

/// Forgets limits that have lapsed.
void forgetLapsedLimits(const BackendPool &Servers, Clock::duration StoreTime);

/// What this instance heard recently, by server id.
std::map<std::string, ServerLimitReport>
limitReports(const BackendPool &Servers, Clock::duration StoreTime);

} // namespace rr

#endif // REDWINGRACK_STEERING_SERVERLIMITS_H
