#ifndef REDWINGRACK_ROUTING_SERVICEHEADROOM_H
#define REDWINGRACK_ROUTING_SERVICEHEADROOM_H

#include <chrono>
#include <cstdint>
#include <string>

namespace rr {

/// What one owner can still take for one version of a service. Travels in
/// heartbeats and zone summaries.
struct ServiceHeadroom {
  std::string Service;
  std::string Version;
  /// Effective slots of healthy servers that do not drain.
  std::uint32_t Slots = 0;
  /// Average over about a second; a momentary count says little with few
  /// slots.
  double FreeSlots = 0;
  /// Average answer time; 0 while unknown.
  std::chrono::nanoseconds Latency{0};

  /// Requests per second that fit into the free slots.
  double requestsPerSecond() const {
    return this->Latency.count() > 0
               ? this->FreeSlots /
                     std::chrono::duration<double>(this->Latency).count()
               : 0;
  }
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_SERVICEHEADROOM_H
