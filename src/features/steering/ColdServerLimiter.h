#ifndef REDWINGRACK_STEERING_COLDSERVERLIMITER_H
#define REDWINGRACK_STEERING_COLDSERVERLIMITER_H

#include "base/Clock.h"
#include "limits/TokenBucket.h"
#include "steering/BackendState.h"
#include "steering/MemberView.h"

#include <map>
#include <string>

namespace rr {

/// Buckets the requests to a cold server. A few instances, chosen by the
/// server's id, share what it bears; the others send it nothing.
class ColdServerLimiter {
public:
  /// Takes a request for the server if this instance may send one now.
  /// \p Rate is what a cold server of the service bears, in requests a second.
  bool tryTake(const BackendState &Server, double Rate,
               const MemberView &Members, Clock::time_point Now);
  /// Forgets the servers that were not asked about for a while.
  void expire(Clock::time_point Now);

private:
  struct ServerBucket {
    explicit ServerBucket(Clock::time_point Now) : Bucket(Now) {}
    TokenBucket Bucket;
    Clock::time_point UsedAt{};
  };
  std::map<std::string, ServerBucket> Buckets;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_COLDSERVERLIMITER_H
