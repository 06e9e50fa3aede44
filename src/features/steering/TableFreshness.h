#ifndef REDWINGRACK_STEERING_TABLEFRESHNESS_H
#define REDWINGRACK_STEERING_TABLEFRESHNESS_H

#include "base/Clock.h"

namespace rr {

/// For each table, the time up to which all its changes are known. All times
/// are of one clock that includes suspension. A read through another instance
/// counts from what that instance had read.
struct TableTimes {
  Clock::time_point Orders{};
  Clock::time_point Backends{};
  Clock::time_point Members{};
};

/// Whether an instance that left standby at \p InServiceSince has read all
/// tables since. Before that it knows the fleet as of its last read as a
/// standby.
bool followsTables(const TableTimes &Known, Clock::time_point InServiceSince);

/// Whether all tables were read so shortly before \p Now that an instance that
/// does not follow them may serve a request.
bool wereJustRead(const TableTimes &Known, Clock::time_point Now);

/// Whether the orders are recent enough to serve a request that a standby
/// forwards.
bool areOrdersCurrent(const TableTimes &Known, Clock::time_point Now);

/// Whether a server may be chosen from the known rows of backend servers, if
/// the store can be read. \p DrainTime is the time after which a draining
/// server gets no more requests.
bool areBackendsCurrent(const TableTimes &Known, Clock::time_point Now,
                        Clock::duration DrainTime);

} // namespace rr

#endif // REDWINGRACK_STEERING_TABLEFRESHNESS_H
