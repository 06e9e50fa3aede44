#include "steering/QuotaGate.h"

#include <algorithm>
#include <cmath>

namespace rr {

namespace {

/// Demand is averaged over this time.
constexpr Clock::duration DemandTime = std::chrono::seconds(4);
/// The part of the rate follows demand this often.
constexpr Clock::duration AdjustPeriod = std::chrono::milliseconds(200);
/// Part of the requests beyond the rate that may come at once over all
/// instances. The rest is for shares that change at different times.
constexpr double UsedPart = 0.7;

double seconds(Clock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

double QuotaGate::demandOf(const Account &Item, Clock::time_point Now) {
  const double Age = seconds(std::max(Now - Item.DemandAt, Clock::duration{0}));
  return Item.Demand * std::exp(-Age / seconds(DemandTime));
}

Clock::duration QuotaGate::take(const SteeringWorkspace &Workspace,
                                const MemberView &Members,
                                const QuotaBounds &Bounds,
                                Clock::time_point Now) {
  auto [Found, New] = this->Accounts.try_emplace(Workspace.Name, Now);
  Account &Item = Found->second;
  Item.Demand = demandOf(Item, Now) + 1 / seconds(DemandTime);
  Item.DemandAt = Now;
  if (!(Workspace.Rate > 0))
    return Clock::duration::zero();
  if (New || Now - Item.AdjustedAt >= AdjustPeriod) {
    const double Share = Members.rateShare(Workspace.Name);
    const double InWindow =
        Workspace.Rate * seconds(Bounds.Window) + Workspace.Burst;
    const double Beyond =
        Workspace.Burst + Bounds.Overage * InWindow + Bounds.Tolerance;
    const double Depth = UsedPart * Beyond * Share;
    Item.Bucket.setRate(toMicroRequests(Workspace.Rate * Share), Now);
    Item.Bucket.setCapacity(toMicroRequests(std::max(1.0, Depth)), Now);
    Item.AdjustedAt = Now;
    if (New)
      Item.Bucket.deposit(Item.Bucket.capacity() / 2);
  }
  if (Item.Bucket.tryTake(OneRequest, Now))
    return Clock::duration::zero();
  return Item.Bucket.timeUntil(OneRequest).value_or(std::chrono::seconds(1));
}

void QuotaGate::giveBack(const SteeringWorkspace &Workspace) {
  const auto Found = this->Accounts.find(Workspace.Name);
  if (Workspace.Rate > 0 && Found != this->Accounts.end())
    Found->second.Bucket.deposit(OneRequest);
}

std::map<std::string, double> QuotaGate::demand(Clock::time_point Now) const {
  std::map<std::string, double> Result;
  for (const auto &[Workspace, Item] : this->Accounts) {
    const double Demand = demandOf(Item, Now);
    if (Demand > 0.05)
      Result[Workspace] = std::round(Demand * 10) / 10;
  }
  return Result;
}

} // namespace rr
