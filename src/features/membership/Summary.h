#ifndef REDWINGRACK_MEMBERSHIP_SUMMARY_H
#define REDWINGRACK_MEMBERSHIP_SUMMARY_H

#include "membership/PeerHeader.h"
#include "membership/ZoneStatus.h"

#include <vector>

namespace rr {

/// `zoneSummary` (relay to relay; the sender's zone only) and `fleetSummary`
/// (relay to member; all zones).
struct Summary {
  static constexpr std::size_t MostZones = 256;

  PeerHeader Header;
  std::vector<ZoneStatus> Zones;
};

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_SUMMARY_H
