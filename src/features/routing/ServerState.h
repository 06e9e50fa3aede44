#ifndef REDWINGRACK_ROUTING_SERVERSTATE_H
#define REDWINGRACK_ROUTING_SERVERSTATE_H

#include "model/BackendServer.h"
#include "routing/Ejection.h"
#include "routing/LatencyAverage.h"
#include "routing/LoadHint.h"
#include "routing/SlowStart.h"
#include "routing/UsageAverage.h"

namespace rr {

/// What the owner of a backend server knows about it.
struct ServerState {
  BackendServer Config;
  /// Whether this instance is the owner and may send.
  bool Owned = false;
  /// Requests that run on the server; never above the effective slots when a
  /// request is added.
  std::uint32_t Outstanding = 0;
  std::uint32_t OpenConnections = 0;
  LatencyAverage Latency;
  UsageAverage Usage;
  LoadHint Hint;
  Ejection Health;
  SlowStart Ramp;
};

/// Slots that may be used now.
std::uint32_t effectiveSlots(const ServerState &Server, Clock::time_point Now);

/// Whether the server may get a new request now, health apart.
bool hasFreeSlot(const ServerState &Server, Clock::time_point Now);

/// Expected cost of one more request; lower is better. \p UnknownLatency
/// stands in for a server without answers.
double scoreOf(const ServerState &Server,
               std::chrono::nanoseconds UnknownLatency, Clock::time_point Now);

} // namespace rr

#endif // REDWINGRACK_ROUTING_SERVERSTATE_H
