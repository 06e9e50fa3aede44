#include "steering/ColdGate.h"

namespace rr {

namespace {

/// Instances that send to one cold server.
constexpr std::size_t Senders = 3;
/// Used part of what the server bears.
constexpr double UsedPart = 0.8;
constexpr Clock::duration KeptTime = std::chrono::seconds(30);

} // namespace

bool ColdGate::take(const BackendState &Server, double Rate,
                    const MemberView &Members, Clock::time_point Now) {
  if (!(Rate > 0))
    return true;
  if (!Members.isChosen(Server.Hash, Senders))
    return false;
  auto [Found, New] = this->Paces.try_emplace(Server.Record.Id, Now);
  Pace &Item = Found->second;
  if (New) {
    Item.Bucket.setRate(toMicroRequests(Rate * UsedPart / Senders), Now);
    Item.Bucket.setCapacity(OneRequest, Now);
    Item.Bucket.deposit(OneRequest);
  }
  Item.UsedAt = Now;
  return Item.Bucket.tryTake(OneRequest, Now);
}

void ColdGate::expire(Clock::time_point Now) {
  std::erase_if(this->Paces, [&](const auto &Item) {
    return Item.second.UsedAt + KeptTime < Now;
  });
}

} // namespace rr
