#include "steering/ServerRateLimiter.h"

#include <algorithm>
#include <cmath>

namespace rr {

namespace {

/// Fraction of the limit that is used; the rest allows for instances that
/// disagree for a moment on who shares it.
constexpr double UsableFraction = 0.9;
/// Tokens that an instance may save, as a time at its share.
constexpr double BurstSeconds = 0.5;
constexpr Clock::duration IdleShareLifetime = std::chrono::seconds(60);

/// Ranking all instances takes longer than a choice of a server should.
constexpr Clock::duration UpdatePeriod = std::chrono::milliseconds(250);

std::size_t senderCount(double Limit, std::size_t Instances) {
  const double Wanted = std::max(1.0, std::round(Limit));
  return Wanted >= double(Instances) ? Instances : std::size_t(Wanted);
}

} // namespace

void ServerRateLimiter::updateShare(ServerShare &Item,
                                    const BackendState &Server, double Limit,
                                    const MemberView &Members,
                                    Clock::time_point Now) const {
  const std::size_t Senders =
      senderCount(Limit, std::max<std::size_t>(1, Members.shareHolderCount()));
  const double Share = Limit * UsableFraction / double(Senders);
  Item.UpdatedAt = Now;
  Item.Limit = Limit;
  Item.Sends = Members.isAmongTopRanked(Server.Hash, Senders, Server.Region,
                                        this->OwnRegion);
  Item.Bucket.setRate(toMicroRequests(Share), Now);
  Item.Bucket.setCapacity(
      std::max(OneRequest, toMicroRequests(Share * BurstSeconds)), Now);
}

bool ServerRateLimiter::tryTake(const BackendState &Server, double Limit,
                                const MemberView &Members,
                                Clock::time_point Now) {
  // A new bucket is empty: requests that were sent before the limit was known
  // are still at the server.
  const auto [Found, New] = this->Shares.try_emplace(Server.Record.Id, Now);
  ServerShare &Item = Found->second;
  Item.UsedAt = Now;
  if (New || Item.Limit != Limit || Item.UpdatedAt + UpdatePeriod <= Now)
    this->updateShare(Item, Server, Limit, Members, Now);
  return Item.Sends && Item.Bucket.tryTake(OneRequest, Now);
}

void ServerRateLimiter::expire(Clock::time_point Now) {
  std::erase_if(this->Shares, [&](const auto &Item) {
    return Item.second.UsedAt + IdleShareLifetime < Now;
  });
}

} // namespace rr
