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
// the fleet. The rest covers shares that change at different times on different
// instances: when a workspace goes from a few requests to several times its
// rate, the shares of three instances add up to 1.13 over 5 s (in a simulation
// with rows read every 2 s).
constexpr double IndependentFraction = 0.7;
constexpr double HolderFraction = 0.5;
/// Part of the burst that a holder keeps at least, where the bounds permit no
/// excess over it.
constexpr double MinBurstFraction = 0.55;
constexpr double MemberFraction = 0.3;
constexpr double ReserveFraction = 0.2;
/// Of a holder whose predecessor may still act as the holder, beside whose
/// stock its own comes. More than what members transfer at once.
constexpr double NewHolderFraction = 0.15;
/// Time within which all instances have read the rows by which an instance
/// became the holder: the read period with a margin.
constexpr Clock::duration HolderChangeTime = std::chrono::milliseconds(2300);
/// Tokens of a new account, as a fraction of its capacity.
constexpr double StartFraction = 0.5;

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
  Item.StartTokens = toMicroRequests(StartFraction * Depth);
  if (Item.Role == QuotaRole::Holder) {
    const double Region =
        std::max(Share, Members.regionShare(Workspace.Name, Item.Region));
    const bool Sole = Now >= Item.SoleHolderFrom;
    Depth = (Sole ? std::max(HolderFraction * Excess,
                             MinBurstFraction * Workspace.Burst)
                  : NewHolderFraction * Excess) *
            Region;
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
    Item.Bucket.deposit(
        MicroRequests(StartFraction * double(Item.Bucket.capacity())));
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

void QuotaLimiter::beginTenure(std::uint64_t Current, bool Redistributed,
                               Clock::time_point Now) {
  if (Current == this->Tenure)
    return;
  this->Tenure = Current;
  this->Redistributed = Redistributed;
  for (auto &Entry : this->Accounts) {
    Account &Item = Entry.second;
    const MicroRequests Kept = Redistributed ? 0 : Item.StartTokens;
    Item.Bucket.skipTo(Now);
    Item.Bucket.withdraw(
        std::max<MicroRequests>(0, Item.Bucket.tokens() - Kept));
    Item.Role = QuotaRole::Independent;
    Item.Region.clear();
  }
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
  // When a fleet starts, there is no predecessor.
  if (Role == QuotaRole::Holder)
    Item.SoleHolderFrom = Item.Role == QuotaRole::Member || this->Redistributed
                              ? Now + HolderChangeTime
                              : Now;
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
