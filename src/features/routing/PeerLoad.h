#ifndef REDWINGRACK_ROUTING_PEERLOAD_H
#define REDWINGRACK_ROUTING_PEERLOAD_H

#include "base/Clock.h"
#include "routing/ServiceHeadroom.h"

#include <string>

namespace rr {

/// What this instance knows about another owner of servers of one version.
struct PeerLoad {
  std::string Instance;
  bool SameZone = false;
  /// From the configuration; an upper bound for the own requests there.
  std::uint32_t Slots = 0;
  /// The last report.
  ServiceHeadroom Report;
  Clock::time_point ReportedAt{};
  bool Reported = false;
  /// Own forwarded requests, now and at the time of the report.
  std::uint32_t Outstanding = 0;
  std::uint32_t OutstandingAtReport = 0;
  /// The peer refused a request for want of a slot.
  Clock::time_point AvoidUntil{};
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_PEERLOAD_H
