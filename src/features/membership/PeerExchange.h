#ifndef REDWINGRACK_MEMBERSHIP_PEEREXCHANGE_H
#define REDWINGRACK_MEMBERSHIP_PEEREXCHANGE_H

#include "membership/Heartbeat.h"
#include "membership/LinkClock.h"
#include "membership/MessageGap.h"
#include "membership/Summary.h"

#include <map>
#include <string>
#include <vector>

namespace rr {

class FreshnessTracker;
class MemberTable;

/// Builds and takes in heartbeats and summaries. A member sends a heartbeat
/// to each relay of its zone and gets a fleet summary as the answer; relays
/// of different zones send zone summaries and get zone summaries back.
class PeerExchange {
public:
  /// Both outlive the exchange.
  PeerExchange(MemberTable &Members, FreshnessTracker &Freshness);

  Heartbeat makeHeartbeat(const std::string &To, Clock::time_point Now);
  Summary makeZoneSummary(const std::string &To, Clock::time_point Now);
  Summary makeFleetSummary(const std::string &To, Clock::time_point Now);

  MessageGap receive(const Heartbeat &Message, Clock::time_point Now);
  MessageGap receive(const Summary &Message, Clock::time_point Now);

  /// Peers that are due a message each period().
  std::vector<std::string> heartbeatTargets(Clock::time_point Now) const;
  /// Relays of the other zones that this one calls; empty when this instance
  /// is not a relay.
  std::vector<std::string> zoneSummaryTargets(Clock::time_point Now) const;
  /// Interval of messages: shorter while the store gives no proof.
  Clock::duration period(Clock::time_point Now) const;
  /// Interval of own reads of `control/head`; zero when a relay's reads do.
  Clock::duration headReadPeriod(Clock::time_point Now) const;
  /// Silent members of the own zone that a relay tries to connect to, so
  /// that a refusal shows the end of the process.
  std::vector<Member> membersToProbe(Clock::time_point Now) const;

  void setLoad(LoadReport Own) { this->OwnLoad = std::move(Own); }
  /// Sums of a zone as last reported; empty when nothing recent is known.
  LoadReport loadOf(const std::string &Zone, Clock::time_point Now) const;

private:
  struct Link {
    std::uint64_t Incarnation = 0;
    LinkClock Timing;
  };
  struct TimedLoad {
    Clock::time_point At;
    LoadReport Load;
  };

  Link &linkTo(const std::string &Name);
  PeerHeader makeHeader(const std::string &To, Clock::time_point Now);
  ZoneStatus makeZoneStatus(const std::string &Zone,
                            Clock::time_point Now) const;
  MessageGap take(const PeerHeader &Header,
                  const std::vector<ZoneStatus> &Zones, Clock::time_point Now);
  LoadReport ownZoneLoad(Clock::time_point Now) const;

  MemberTable &Members;
  FreshnessTracker &Freshness;
  std::map<std::string, Link> Links;
  LoadReport OwnLoad;
  std::map<std::string, TimedLoad> MemberLoads;
  std::map<std::string, TimedLoad> ZoneLoads;
  /// When the relays last passed on a read of the store that was recent.
  Clock::time_point RelayReadAt = Clock::time_point::min();
};

} // namespace rr

#endif // REDWINGRACK_MEMBERSHIP_PEEREXCHANGE_H
