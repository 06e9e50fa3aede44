#ifndef REDWINGRACK_MEMBERSHIP_SUMMARY_H
#define REDWINGRACK_MEMBERSHIP_SUMMARY_H

#include "membership/PeerHeader.h"
#include "membership/ZoneStatus.h"

#include <map>
#include <string>
#include <vector>

namespace rr {

/// `zoneSummary` (relay to relay; the sender's zone) and `fleetSummary` (relay
/// to member; one status for the whole fleet, and the headroom of all zones).
struct Summary {
  static constexpr std::size_t MostZones = 256;

  PeerHeader Header;
  std::vector<ZoneStatus> Zones;
  /// Free slots by zone and service; in a fleet summary only. Demand stays
  /// with the relays, which balance the shares.
  std::map<std::string, std::map<std::string, double>> Headroom;
};

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_SUMMARY_H
