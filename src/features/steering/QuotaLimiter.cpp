#include "steering/QuotaLimiter.h"

#include <algorithm>
#include <cmath>

namespace rr {

namespace {

/// Time constant of the demand average.
constexpr Clock::duration DemandAveragingTime = std::chrono::seconds(4);
/// Interval at which the bucket limits follow the rate share.
constexpr Clock::duration LimitUpdatePeriod = std::chrono::milliseconds(200);
/// A member reserves and requests its demand for this time.
constexpr Clock::duration ReserveTime = std::chrono::milliseconds(500);
/// A member's capacity covers the tokens that accrue in this time before they
/// are transferred.
constexpr Clock::duration ExchangeTime = std::chrono::seconds(1);

// Bucket capacities as fractions of the permitted excess over the rate across
// the fleet. Holders and members together stay below 1; the rest covers shares
// that change at different times on different instances.
constexpr double IndependentFraction = 0.7;
constexpr double HolderFraction = 0.65;
constexpr double MemberFraction = 0.3;
constexpr double ReserveFraction = 0.2;

/// Fill level that a holder keeps before it transfers tokens to other regions.
constexpr double HolderStockFraction = 0.85;

double seconds(Clock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Permitted burst of a workspace beyond its rate, in requests.
double allowedExcess(const SteeringWorkspace &Workspace,
                     const QuotaBounds &Bounds) {
  const double InWindow =
      Workspace.Rate * seconds(Bounds.Window) + Workspace.Burst;
  return Workspace.Burst + Bounds.Overage * InWindow + Bounds.Tolerance;
}

} // namespace

double QuotaLimiter::decayedDemand(const Account &Item, Clock::time_point Now) {
  const double Age = seconds(std::max(Now - Item.DemandAt, Clock::duration{0}));
  return Item.Demand * std::exp(-Age / seconds(DemandAveragingTime));
}

double QuotaLimiter::memberReserve(const Account &Item, Clock::time_point Now) {
  const double Reserve = std::min(Item.MaxReserve, decayedDemand(Item, Now) *
                                                       seconds(ReserveTime));
  // A reserve below one request cannot be used.
  return Reserve < 1 ? 0 : Reserve;
}

void QuotaLimiter::updateLimits(Account &Item,
                                const SteeringWorkspace &Workspace,
                                const MemberView &Members,
                                const QuotaBounds &Bounds,
                                Clock::time_point Now) {
  const double Share = Members.rateShare(Workspace.Name);
  const double Excess = allowedExcess(Workspace, Bounds);
  double Depth = IndependentFraction * Excess * Share;
  Item.InflowRate = Workspace.Rate * Share;
  Item.MaxReserve = ReserveFraction * Excess * Share;
  if (Item.Role == QuotaRole::Holder) {
    const double Region =
        std::max(Share, Members.regionShare(Workspace.Name, Item.Region));
    Depth = HolderFraction * Excess * Region;
    Item.InflowRate = Workspace.Rate * Region;
  } else if (Item.Role == QuotaRole::Member) {
    Depth = std::max(MemberFraction * Excess * Share,
                     Workspace.Rate * Share * seconds(ExchangeTime));
  }
  Item.Bucket.setRate(toMicroRequests(Workspace.Rate * Share), Now);
  Item.Bucket.setCapacity(toMicroRequests(std::max(1.0, Depth)), Now);
  Item.AdjustedAt = Now;
}

QuotaLimiter::Account &
QuotaLimiter::accountOf(const SteeringWorkspace &Workspace,
                        const MemberView &Members, const QuotaBounds &Bounds,
                        Clock::time_point Now) {
  auto [Found, New] = this->Accounts.try_emplace(Workspace.Name, Now);
  Account &Item = Found->second;
  if (!(Workspace.Rate > 0))
    return Item;
  if (New || Now - Item.AdjustedAt >= LimitUpdatePeriod)
    updateLimits(Item, Workspace, Members, Bounds, Now);
  if (New)
    Item.Bucket.deposit(Item.Bucket.capacity() / 2);
  return Item;
}

Clock::duration QuotaLimiter::acquire(const SteeringWorkspace &Workspace,
                                      const MemberView &Members,
                                      const QuotaBounds &Bounds,
                                      Clock::time_point Now) {
  Account &Item = this->accountOf(Workspace, Members, Bounds, Now);
  Item.Demand = decayedDemand(Item, Now) + 1 / seconds(DemandAveragingTime);
  Item.DemandAt = Now;
  if (!(Workspace.Rate > 0) || Item.Bucket.tryTake(OneRequest, Now))
    return Clock::duration::zero();
  return Item.Bucket.timeUntil(OneRequest).value_or(std::chrono::seconds(1));
}

void QuotaLimiter::refund(const SteeringWorkspace &Workspace) {
  if (Workspace.Rate > 0)
    this->deposit(Workspace.Name, OneRequest);
}

void QuotaLimiter::setRole(const SteeringWorkspace &Workspace, QuotaRole Role,
                           const std::string &Region, const MemberView &Members,
                           const QuotaBounds &Bounds, Clock::time_point Now) {
  Account &Item = this->accountOf(Workspace, Members, Bounds, Now);
  if (Item.Role == Role && Item.Region == Region)
    return;
  Item.Role = Role;
  Item.Region = Region;
  // Only a holder's limits change at once: lowering a member's capacity here
  // would lose tokens that it could still transfer.
  if (Role == QuotaRole::Holder)
    updateLimits(Item, Workspace, Members, Bounds, Now);
}

MicroRequests QuotaLimiter::takeMemberSurplus(const std::string &Workspace,
                                              Clock::time_point Now) {
  const auto Found = this->Accounts.find(Workspace);
  if (Found == this->Accounts.end() || Found->second.Role != QuotaRole::Member)
    return 0;
  Account &Item = Found->second;
  Item.Bucket.refill(Now);
  const MicroRequests Reserve = toMicroRequests(memberReserve(Item, Now));
  return Item.Bucket.withdraw(
      std::max<MicroRequests>(0, Item.Bucket.tokens() - Reserve));
}

MicroRequests QuotaLimiter::takeHolderSurplus(const std::string &Workspace,
                                              Clock::time_point Now) {
  const auto Found = this->Accounts.find(Workspace);
  if (Found == this->Accounts.end() || Found->second.Role != QuotaRole::Holder)
    return 0;
  TokenBucket &Bucket = Found->second.Bucket;
  Bucket.refill(Now);
  const double Stock = HolderStockFraction * double(Bucket.capacity());
  return Bucket.withdraw(
      std::max<MicroRequests>(0, Bucket.tokens() - MicroRequests(Stock)));
}

void QuotaLimiter::deposit(const std::string &Workspace, MicroRequests Amount) {
  const auto Found = this->Accounts.find(Workspace);
  if (Found != this->Accounts.end())
    Found->second.Bucket.deposit(Amount);
}

QuotaGrant QuotaLimiter::grant(const std::string &Workspace,
                               MicroRequests Wanted, Clock::time_point Now) {
  const auto Found = this->Accounts.find(Workspace);
  if (Found == this->Accounts.end())
    return {0, ExchangeTime};
  Account &Item = Found->second;
  Item.Bucket.refill(Now);
  const MicroRequests Tokens = Item.Bucket.tokens();
  if (Tokens < OneRequest) {
    const double Missing = toRequests(OneRequest - Tokens);
    const double Time = Item.InflowRate > 0 ? Missing / Item.InflowRate : 1;
    return {0, std::chrono::duration_cast<Clock::duration>(
                   std::chrono::duration<double>(std::min(Time, 1.0)))};
  }
  // At most half is granted at once, since other instances request tokens too.
  const MicroRequests Most = std::max(OneRequest, Tokens / 2);
  return {Item.Bucket.withdraw(std::clamp(Wanted, OneRequest, Most)), {}};
}

MicroRequests QuotaLimiter::batchSize(const std::string &Workspace,
                                      Clock::time_point Now) const {
  const auto Found = this->Accounts.find(Workspace);
  return Found == this->Accounts.end()
             ? OneRequest
             : OneRequest + toMicroRequests(memberReserve(Found->second, Now));
}

std::map<std::string, double>
QuotaLimiter::demand(Clock::time_point Now) const {
  std::map<std::string, double> Result;
  for (const auto &[Workspace, Item] : this->Accounts) {
    const double Demand = decayedDemand(Item, Now);
    if (Demand > 0.05)
      Result[Workspace] = std::round(Demand * 10) / 10;
  }
  return Result;
}

} // namespace rr
