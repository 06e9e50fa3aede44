#include "routing/GrantLedger.h"

#include "routing/FairDivision.h"

#include <algorithm>

namespace rr {

namespace {

// Share of the limit that may be granted at once, without growth.
constexpr double FirstShare = 0.25;

} // namespace

double GrantLedger::reservedBy(const std::string &Key,
                               Clock::time_point Now) const {
  double Highest = 0;
  if (const auto Found = this->Grants.find(Key); Found != this->Grants.end())
    for (const LiveGrant &Grant : Found->second)
      if (Now < Grant.Until)
        Highest = std::max(Highest, Grant.PerSecond);
  return Highest;
}

double GrantLedger::reserved(Clock::time_point Now) const {
  double Sum = 0;
  for (const auto &Item : this->Grants)
    Sum += this->reservedBy(Item.first, Now);
  return Sum;
}

std::vector<double> GrantLedger::grant(const std::vector<GrantAsk> &Asks,
                                       double Limit, Clock::time_point Now) {
  for (auto &Item : this->Grants)
    std::erase_if(Item.second,
                  [&](const LiveGrant &Grant) { return Now >= Grant.Until; });
  std::erase_if(this->Grants,
                [](const auto &Item) { return Item.second.empty(); });
  std::vector<double> Wanted;
  for (const GrantAsk &Ask : Asks)
    Wanted.push_back(Ask.PerSecond);
  std::vector<double> Result = divideFairly(Limit, Wanted);
  const double Before = this->reserved(Now);
  double Increase = 0;
  for (std::size_t I = 0; I < Asks.size(); ++I)
    Increase += std::max(0.0, Result[I] - this->reservedBy(Asks[I].Key, Now));
  const double Ceiling =
      std::min(Limit, std::max(FirstShare * Limit, 2 * Before));
  const double Room = std::max(0.0, Ceiling - Before);
  const double Factor = Increase > Room ? Room / Increase : 1;
  for (std::size_t I = 0; I < Asks.size(); ++I) {
    const double Old = this->reservedBy(Asks[I].Key, Now);
    if (Result[I] > Old)
      Result[I] = Old + Factor * (Result[I] - Old);
    if (Result[I] > 0)
      this->Grants[Asks[I].Key].push_back({Result[I], Now + Validity});
  }
  return Result;
}

} // namespace rr
