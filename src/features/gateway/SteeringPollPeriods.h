#ifndef REDWINGRACK_GATEWAY_STEERINGPOLLPERIODS_H
#define REDWINGRACK_GATEWAY_STEERINGPOLLPERIODS_H

#include "base/Clock.h"

namespace rr {

/// Bounds how old the proof of the keys is. A call that is lost on the way is
/// given up in time for another one before the proof ends.
inline constexpr Clock::duration OrderLongPollTime =
    std::chrono::milliseconds(2200);
/// Entries of backend servers change many times a second and are read
/// together. A server that drains gets nothing more about one period later.
inline constexpr Clock::duration BackendPollPeriod =
    std::chrono::milliseconds(1000);
/// Rows of the other instances.
inline constexpr Clock::duration MemberPollPeriod =
    std::chrono::milliseconds(2000);
/// A standby looks this often whether it is needed.
inline constexpr Clock::duration StandbyMemberPollPeriod =
    std::chrono::seconds(8);
/// Of this instance's row and the others', while a version moves.
inline constexpr Clock::duration MovePollPeriod =
    std::chrono::milliseconds(500);
/// Of a standby: its row, orders and servers' entries; within the store's
/// history.
inline constexpr Clock::duration StandbyPollPeriod = std::chrono::seconds(16);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_STEERINGPOLLPERIODS_H
