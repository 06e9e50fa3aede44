#ifndef REDWINGRACK_STEERING_COLDSERVERLIMITER_H
#define REDWINGRACK_STEERING_COLDSERVERLIMITER_H

#include "base/Clock.h"
#include "limits/TokenBucket.h"
#include "steering/BackendState.h"
#include "steering/MemberView.h"

#include <map>
#include <string>

namespace rr {

/// Limits the request rate to cold servers. A few instances, selected by a hash
/// of the server id, share its permitted rate; the others send it nothing.
class ColdServerLimiter {
public:
  /// Takes a token if this instance may send a request to the server now. \p
  /// Rate is the permitted rate of a cold server of the service, in requests
  /// per second; no limit applies unless it is positive.
  bool tryTake(const BackendState &Server, double Rate,
               const MemberView &Members, Clock::time_point Now);
  /// Removes the buckets of servers that have not been queried recently.
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
