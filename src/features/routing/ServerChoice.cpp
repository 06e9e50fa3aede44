#include "routing/ServerChoice.h"

namespace rr {

namespace {

using Servers = std::span<const ServerPtr>;

// Stands in before any server of a version has answered.
constexpr std::chrono::nanoseconds NoLatencyYet = std::chrono::milliseconds(20);

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
  std::size_t Count = 0;
  for (const ServerPtr &Server : Group)
    Count += Eligible(Server) ? 1 : 0;
  if (Count == 0)
    return nullptr;
  const std::size_t First = randomBelow(Count, Random);
  std::size_t Second = Count > 1 ? randomBelow(Count - 1, Random) : First;
  if (Count > 1 && Second >= First)
    ++Second;
  const ServerPtr *Left = nullptr;
  const ServerPtr *Right = nullptr;
  std::size_t Number = 0;
  for (const ServerPtr &Server : Group) {
    if (!Eligible(Server))
      continue;
    if (Number == First)
      Left = &Server;
    if (Number == Second)
      Right = &Server;
    ++Number;
  }
  if (Left == Right)
    return *Left;
  const auto Mean = meanLatency(Group);
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
