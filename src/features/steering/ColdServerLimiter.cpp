#include "steering/ColdServerLimiter.h"

namespace rr {

namespace {

/// Number of instances that send requests to one cold server.
constexpr std::size_t SendersPerColdServer = 3;
/// Fraction of the permitted rate that is used.
constexpr double UsableRateFraction = 0.8;
constexpr Clock::duration IdleBucketLifetime = std::chrono::seconds(30);

} // namespace

bool ColdServerLimiter::tryTake(const BackendState &Server, double Rate,
                                const MemberView &Members,
                                Clock::time_point Now) {
  if (!(Rate > 0))
    return true;
  if (!Members.isAmongTopRanked(Server.Hash, SendersPerColdServer))
    return false;
  auto [Found, New] = this->Buckets.try_emplace(Server.Record.Id, Now);
  ServerBucket &Item = Found->second;
  if (New) {
    Item.Bucket.setRate(
        toMicroRequests(Rate * UsableRateFraction / SendersPerColdServer), Now);
    Item.Bucket.setCapacity(OneRequest, Now);
    Item.Bucket.deposit(OneRequest);
  }
  Item.UsedAt = Now;
  return Item.Bucket.tryTake(OneRequest, Now);
}

void ColdServerLimiter::expire(Clock::time_point Now) {
  std::erase_if(this->Buckets, [&](const auto &Item) {
    return Item.second.UsedAt + IdleBucketLifetime < Now;
  });
}

} // namespace rr
