#include "routing/ServerChoice.h"

namespace rr {

namespace {

using Servers = std::span<const ServerPtr>;

// Stands in before any server of a version has answered.
constexpr std::chrono::nanoseconds NoLatencyYet = std::chrono::milliseconds(20);

// Random picks before the servers are looked at in turn.
constexpr int MaxPicks = 6;

// Uniform enough for small counts, and cheaper than a distribution object.
std::size_t randomBelow(std::size_t Count, RandomEngine &Random) {
  return static_cast<std::size_t>((Random() >> 32) * Count >> 32);
}

} // namespace

ServerPtr chooseServer(Servers Group, Ejection::Health Health,
                       RandomEngine &Random, Clock::time_point Now) {
  const auto Eligible = [&](const ServerPtr &Server) {
    return Server->Health.health() == Health && hasFreeSlot(*Server, Now);
  };
  if (Group.empty())
    return nullptr;
  const ServerPtr *Left = nullptr;
  const ServerPtr *Right = nullptr;
  for (int Pick = 0; Pick < MaxPicks && !Right; ++Pick) {
    const ServerPtr &Server = Group[randomBelow(Group.size(), Random)];
    if (!Eligible(Server))
      continue;
    if (!Left)
      Left = &Server;
    else if (Left != &Server)
      Right = &Server;
  }
  // With few eligible servers the picks may have missed them.
  const std::size_t Start = randomBelow(Group.size(), Random);
  for (std::size_t I = 0; I < Group.size() && !Right; ++I) {
    const ServerPtr &Server = Group[(Start + I) % Group.size()];
    if (Left == &Server || !Eligible(Server))
      continue;
    (Left ? Right : Left) = &Server;
  }
  if (!Left || !Right)
    return Left ? *Left : nullptr;
  const bool Known =
      (*Left)->Latency.value().count() && (*Right)->Latency.value().count();
  const auto Mean = Known ? std::chrono::nanoseconds() : meanLatency(Group);
  return scoreOf(**Right, Mean, Now) < scoreOf(**Left, Mean, Now) ? *Right
                                                                  : *Left;
}

ServerPtr chooseTrial(Servers Group, bool MayRetry, Clock::time_point Now) {
  for (const ServerPtr &Server : Group)
    if ((MayRetry ? Server->Health.trialDue(Now)
                  : Server->Health.trialOverdue(Now)) &&
        hasFreeSlot(*Server, Now))
      return Server;
  return nullptr;
}

std::chrono::nanoseconds meanLatency(Servers Group) {
  std::chrono::nanoseconds Sum{0};
  int Count = 0;
  for (const ServerPtr &Server : Group)
    if (const auto Latency = Server->Latency.value(); Latency.count() > 0) {
      Sum += Latency;
      ++Count;
    }
  return Count > 0 ? Sum / Count : NoLatencyYet;
}

} // namespace rr
