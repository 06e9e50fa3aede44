#ifndef REDWINGRACK_ROUTING_ROUTEREQUEST_H
#define REDWINGRACK_ROUTING_ROUTEREQUEST_H

#include "base/Clock.h"

#include <cstdint>
#include <string_view>

namespace rr {

/// What a routing decision needs to know about a request.
struct RouteRequest {
  std::string_view Workspace;
  std::string_view Service;
  /// Version that the entry instance chose; set on requests that come from
  /// another instance of the region, empty at entry.
  std::string_view Version;
  /// Request and expected answer together.
  double Bytes = 0;
  Clock::time_point Deadline{};
  /// Requests of the service that wait in the queue of this instance.
  std::uint32_t Queued = 0;
  /// Whether the request may run a second time.
  bool MayRetry = false;
  /// There was an earlier decision about this request, so that the meters
  /// have counted it.
  bool Again = false;
  /// Comes from another instance, which expects an owned server.
  bool Forwarded = false;
  /// Comes from another region.
  bool Spilled = false;
  /// An earlier decision had RouteDecision::Overflowed set.
  bool OverflowNoted = false;
};

} // namespace rr

#endif // REDWINGRACK_ROUTING_ROUTEREQUEST_H
