#ifndef REDWINGRACK_BENCH_CAPACITYPARTY_H
#define REDWINGRACK_BENCH_CAPACITYPARTY_H

#include "bench/CapacityFleet.h"
#include "membership/FreshnessTracker.h"
#include "membership/MemberTable.h"
#include "membership/PeerExchange.h"

namespace rr {

/// The membership of one instance of a fleet, all members of which were heard
/// of just now.
struct CapacityParty {
  CapacityParty(const CapacityFleet &Fleet, std::size_t Index);

  /// The store was read at \p Now.
  void setNow(Clock::time_point Now);
  /// The work that ControlNode::tick() and LinkKeeper do on the member list
  /// when nothing is due.
  void tick();

  Clock::time_point StartedAt;
  MemberTable Members;
  FreshnessTracker Freshness;
  PeerExchange Exchange;
};

} // namespace rr

#endif // REDWINGRACK_BENCH_CAPACITYPARTY_H
