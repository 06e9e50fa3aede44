#include "routing/SpillCredits.h"

#include "routing/FairDivision.h"
#include "routing/GrantLedger.h"

#include <algorithm>

namespace rr {

namespace {

// Requests may come this much at once; more would hit the receiving region as
// a burst.
constexpr double BurstSeconds = 0.1;

double burstOf(double PerSecond) {
  return std::max(1.0, PerSecond * BurstSeconds);
}

} // namespace

void SpillCredits::apply(const SpillGrant &Grant, Clock::time_point AskedAt,
                         Clock::time_point Now) {
  std::erase_if(this->Credits, [&](const Credit &Item) {
    return Now >= Item.AskedAt + GrantLedger::Validity;
  });
  auto Found = std::ranges::find_if(this->Credits, [&](const Credit &Item) {
    return Item.Grant.ToRegion == Grant.ToRegion &&
           Item.Grant.Granter == Grant.Granter &&
           Item.Grant.Service == Grant.Service;
  });
  if (Found == this->Credits.end()) {
    Found = this->Credits.insert(Found, Credit());
    // A bucket that starts now has no tokens from before the grant.
    Found->Requests.setRate(0, 0, Now);
    Found->Bytes.setRate(0, 0, Now);
  } else if (AskedAt < Found->AskedAt) {
    return;
  }
  Found->Grant = Grant;
  Found->AskedAt = AskedAt;
  Found->Requests.setRate(Grant.RequestsPerSecond,
                          burstOf(Grant.RequestsPerSecond), Now);
  Found->Bytes.setRate(Grant.BytesPerSecond, burstOf(Grant.BytesPerSecond),
                       Now);
}

bool SpillCredits::trySpend(std::string_view Region, std::string_view Service,
                            double Bytes, Clock::time_point Now) {
  for (Credit &Item : this->Credits) {
    if (Item.Grant.ToRegion != Region || Item.Grant.Service != Service ||
        Now >= Item.AskedAt + GrantLedger::Validity)
      continue;
    if (Item.Requests.has(1, Now) && Item.Bytes.has(Bytes, Now)) {
      Item.Requests.spend(1);
      Item.Bytes.spend(Bytes);
      return true;
    }
  }
  return false;
}

std::vector<SpillGrant>
SpillCredits::divide(const SpillGrant &Grant,
                     const std::vector<double> &Demands) {
  const auto Requests = divideFairly(Grant.RequestsPerSecond, Demands);
  std::vector<SpillGrant> Result(Demands.size(), Grant);
  for (std::size_t I = 0; I < Demands.size(); ++I) {
    Result[I].RequestsPerSecond = Requests[I];
    // Bytes follow the requests.
    Result[I].BytesPerSecond =
        Grant.RequestsPerSecond > 0
            ? Grant.BytesPerSecond * Requests[I] / Grant.RequestsPerSecond
            : 0;
  }
  return Result;
}

} // namespace rr
