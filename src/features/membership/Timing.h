#ifndef REDWINGRACK_MEMBERSHIP_TIMING_H
#define REDWINGRACK_MEMBERSHIP_TIMING_H

#include "base/Clock.h"

namespace rr {

/// Oldest evidence (F of the design page) that a freshness proof may rest on.
constexpr Clock::duration FreshnessLimit = std::chrono::seconds(3);

/// Time for a change in the store to reach the instances that read it.
constexpr Clock::duration PropagationTime = std::chrono::seconds(1);

/// A change is in force this long after the store has it.
constexpr Clock::duration InForceDelay = FreshnessLimit + PropagationTime;

/// Interval of heartbeats and summaries while relays read the store.
constexpr Clock::duration HeartbeatPeriod = std::chrono::seconds(1);

/// Interval while they cannot. Proof B adds three hops, each with up to two
/// intervals of waiting; at 1 s that exceeds the freshness limit.
constexpr Clock::duration OutageHeartbeatPeriod =
    std::chrono::milliseconds(250);

/// A relay whose last read of the store started longer ago than this takes
/// the store for unavailable. Two read periods plus latency between regions.
constexpr Clock::duration OutageAfter = std::chrono::milliseconds(1200);

/// Interval of a relay's reads of `control/head`.
constexpr Clock::duration HeadReadPeriod = std::chrono::milliseconds(500);

/// Interval at which a member without news from a relay reads the store
/// itself: 1,300 instances make 650 reads/s of the 2,000 that the store takes.
constexpr Clock::duration FallbackReadPeriod = std::chrono::seconds(2);

/// A member that was not heard of for longer is not live.
constexpr Clock::duration SilentAfter = std::chrono::seconds(3);

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_TIMING_H
