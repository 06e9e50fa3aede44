#ifndef REDWINGRACK_STEERING_PLACEMENT_H
#define REDWINGRACK_STEERING_PLACEMENT_H

#include "base/Clock.h"
#include "steering/BackendPool.h"
#include "steering/CacheAffinity.h"

namespace rr {

/// Where a request goes, or why it goes nowhere.
struct Placement {
  enum class Result {
    Found,
    /// No server may run it.
    NoServer,
    /// Every server that may run it has more work than it can do in time.
    Full,
  };
  Result Outcome = Result::NoServer;
  /// With Full, the best of those that have no room; null when it is the cap
  /// on cold servers or on moves that refuses.
  BackendPtr Server;
  /// Servers that may run the request.
  int EligibleServers = 0;
  CacheAffinity Affinity = CacheAffinity::Other;
  /// The server bears few requests for now; each needs a token.
  bool Cold = false;
  /// Estimated time to the answer.
  Clock::duration ExpectedTime{0};
};

} // namespace rr

#endif // REDWINGRACK_STEERING_PLACEMENT_H
