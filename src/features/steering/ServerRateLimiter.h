#ifndef REDWINGRACK_STEERING_SERVERRATELIMITER_H
#define REDWINGRACK_STEERING_SERVERRATELIMITER_H

#include "base/Clock.h"
#include "limits/TokenBucket.h"
#include "steering/BackendState.h"
#include "steering/MemberView.h"

#include <map>
#include <string>

namespace rr {

/// Divides the limit that a server names over the fleet. So many instances that
/// each may send about one request a second share it, those of the server's
/// region first; the others send the server nothing.
class ServerRateLimiter {
public:
  explicit ServerRateLimiter(std::string OwnRegion)
      : OwnRegion(std::move(OwnRegion)) {}

  /// Takes a token if this instance may send a request to the server now.
  /// \p Limit is in requests per second from all instances together.
  bool tryTake(const BackendState &Server, double Limit,
               const MemberView &Members, Clock::time_point Now);
  /// Removes the shares of servers that have not been queried recently.
  void expire(Clock::time_point Now);

private:
  struct ServerShare {
    explicit ServerShare(Clock::time_point Now) : Bucket(Now) {}
    TokenBucket Bucket;
    /// Limit of the server for which the share was calculated.
    double Limit = 0;
    /// This instance is one of those that share the limit.
    bool Sends = false;
    Clock::time_point UpdatedAt{};
    Clock::time_point UsedAt{};
  };

  void updateShare(ServerShare &Item, const BackendState &Server, double Limit,
                   const MemberView &Members, Clock::time_point Now) const;

  std::string OwnRegion;
  /// By server id.
  std::map<std::string, ServerShare> Shares;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_SERVERRATELIMITER_H
