#ifndef REDWINGRACK_GATEWAY_STEERINGPOLLPERIODS_H
#define REDWINGRACK_GATEWAY_STEERINGPOLLPERIODS_H

#include "base/Clock.h"
#include "tables/TableRelay.h"

#include <algorithm>

namespace rr {

/// Longest time that a read of orders waits at the store. The keys stay valid
/// only while reads succeed, so a lost call must time out early enough for
/// another one before they expire. \p ConfigurationTime is the time within
/// which orders must be in force.
inline Clock::duration orderLongPollTime(Clock::duration ConfigurationTime) {
  constexpr Clock::duration MaxWait = std::chrono::milliseconds(2200);
  return std::min(MaxWait, TableRelay::longPollTime(ConfigurationTime));
}
/// Rows of backend servers change many times a second and are read in batches.
/// A draining server gets no new requests about one period later.
inline constexpr Clock::duration BackendPollPeriod =
    std::chrono::milliseconds(1000);
/// Period of reads of the member table.
inline constexpr Clock::duration MemberPollPeriod =
    std::chrono::milliseconds(2000);
/// Period of reads of the member table at a standby, which thereby learns
/// whether it is needed.
inline constexpr Clock::duration StandbyMemberPollPeriod =
    std::chrono::seconds(8);
/// Period of writes of the own row and of reads of the member table while a
/// version move is pending. Also of these reads after a request was lost in a
/// crash.
inline constexpr Clock::duration MovePollPeriod =
    std::chrono::milliseconds(500);
/// Period of a standby for its own row, orders and rows of backend servers.
/// Short enough that the store still has the changes in its history.
inline constexpr Clock::duration StandbyPollPeriod = std::chrono::seconds(16);
/// The instances write their rows again within this time of reading the member
/// table in a new era of the store. With the time until that read, the rows are
/// back within two seconds of the store's return.
inline constexpr Clock::duration RestoredRowSpread =
    std::chrono::milliseconds(1000);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_STEERINGPOLLPERIODS_H
