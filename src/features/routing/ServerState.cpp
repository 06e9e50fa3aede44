#include "routing/ServerState.h"

#include <algorithm>

namespace rr {

namespace {

// Bounds the effect of failures on the score, so that a server that failed a
// few times is still tried.
constexpr double MinSuccessRate = 0.1;

} // namespace

std::uint32_t effectiveSlots(const ServerState &Server, Clock::time_point Now) {
  return Server.Ramp.effectiveSlots(Server.Config.Slots, Now);
}

bool hasFreeSlot(const ServerState &Server, Clock::time_point Now) {
  return Server.Owned && !Server.Config.Draining &&
         Server.Outstanding < effectiveSlots(Server, Now) &&
         Server.Outstanding < Server.Config.Connections;
}

double scoreOf(const ServerState &Server,
               std::chrono::nanoseconds UnknownLatency, Clock::time_point Now) {
  const auto Measured = Server.Latency.value();
  const auto Latency = static_cast<double>(
      (Measured.count() ? Measured : UnknownLatency).count());
  // A server that fails at once looks fast; its failures count as longer
  // answers, because the request is sent again.
  const double SuccessRate =
      std::max(MinSuccessRate, 1 - Server.Health.failureRate());
  return (Server.Outstanding + 1.0) / effectiveSlots(Server, Now) * Latency *
         Server.Hint.factor(Now) / SuccessRate;
}

} // namespace rr
