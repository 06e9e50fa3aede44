#ifndef REDWINGRACK_STEERING_PLACEMENT_H
#define REDWINGRACK_STEERING_PLACEMENT_H

#include "base/Clock.h"
#include "steering/BackendPool.h"
#include "steering/CacheAffinity.h"

namespace rr {

/// The server chosen for a request, or the reason why there is none.
struct Placement {
  enum class Result {
    Found,
    /// No server is eligible.
    NoServer,
    /// Every eligible server is overloaded or rate limited.
    Full,
  };
  Result Outcome = Result::NoServer;
  /// With Full, the overloaded server with the lowest cost; null when only the
  /// limits of cold and limited servers or the region shift limit applied.
  BackendPtr Server;
  /// Number of eligible servers.
  int EligibleServers = 0;
  CacheAffinity Affinity = CacheAffinity::Other;
  /// The server is cold; each request to it needs a token.
  bool Cold = false;
  /// Estimated time to the answer.
  Clock::duration ExpectedTime{0};
  /// Part of it that the request waits for a slot.
  Clock::duration ExpectedWait{0};
};

} // namespace rr

#endif // REDWINGRACK_STEERING_PLACEMENT_H
