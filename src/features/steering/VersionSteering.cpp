#include "steering/VersionSteering.h"

#include <algorithm>

namespace rr {

namespace {

/// Common name of all baseline versions in the comparison.
const std::string BaselineName = "stable";
/// An unknown version is used after this time without an order for it. Longer
/// than a failed read of the orders can hide one.
constexpr Clock::duration OrderTimeout = std::chrono::seconds(6);
/// Below this share, rare routes get a larger share, so that the target can be
/// judged on every route.
constexpr double RareRouteShareLimit = 0.1;
/// Maximum share of a rare route below that limit.
constexpr double MaxRareRouteShare = 0.5;
/// A target is suspect from this many answers and this excess share of bad
/// ones.
constexpr std::uint64_t MinSuspectRequests = 6;
constexpr double SuspectMargin = 0.12;
constexpr double MaxRouteRequests = 400;
/// Moves last seconds rather than hours, so less evidence is required than for
/// long rollouts.
constexpr VersionRule MoveRule{
    .MinEvents = 3, .Sigma = 2, .Margin = 0.02, .MaxProbability = 1e-3};

} // namespace

void VersionSteering::setOrder(const VersionOrder &New,
                               const std::set<std::string> &Present) {
  if (this->Order && this->Order->Target == New.Target)
    return;
  if (!this->Order)
    for (const std::string &Version : Present)
      if (Version != New.Target && !this->WaitingSince.count(Version))
        this->ServingVersions.insert(Version);
  this->Order = New;
  this->WaitingSince.erase(New.Target);
  this->ServingVersions.erase(New.Target);
  this->Stopped = false;
  this->Stats = {};
  this->Stats.Plan = New.Target;
  this->OtherStats.clear();
  this->Comparison.emplace(BaselineName, New.Target, MoveRule);
}

void VersionSteering::adoptMove(const VersionMove &New) {
  const bool NewStage = !this->Move || this->Move->Target != New.Target ||
                        this->Move->Share != New.Share;
  this->Move = New;
  if (NewStage && this->Comparison && this->Order &&
      this->Order->Target == New.Target)
    this->Comparison->resetWindows();
  if (New.State == VersionMove::Phase::Completed)
    this->ServingVersions.insert(New.Target);
}

void VersionSteering::updatePresentVersions(
    const std::set<std::string> &Present, Clock::time_point Now) {
  // Versions found at the first read are assumed to be in service, except the
  // target of an order.
  if (this->ServingVersions.empty()) {
    for (const std::string &Version : Present)
      if (!this->Order || Version != this->Order->Target)
        this->ServingVersions.insert(Version);
    return;
  }
  for (const std::string &Version : Present)
    if (!this->ServingVersions.count(Version))
      this->WaitingSince.try_emplace(Version, Now);
}

double VersionSteering::targetShare(const std::string &Route) {
  double &Requests = this->RouteRequests[Route];
  Requests += 1;
  double Total = 0;
  for (const auto &Item : this->RouteRequests)
    Total += Item.second;
  if (Total > MaxRouteRequests)
    for (auto &Item : this->RouteRequests)
      Item.second /= 2;
  const double Share = this->Move->Share;
  if (Share >= RareRouteShareLimit || Share <= 0)
    return Share;
  const double Even = Total / double(this->RouteRequests.size());
  return std::clamp(Share * Even / Requests, Share / 2, MaxRareRouteShare);
}

VersionSteering::Choice VersionSteering::choose(const std::string &Route,
                                                Clock::time_point Now) {
  Choice Result;
  for (const auto &[Version, Since] : this->WaitingSince)
    if (!this->ServingVersions.count(Version) && Now - Since < OrderTimeout)
      Result.Avoided.insert(Version);
  if (this->Move)
    Result.Avoided.insert(this->Move->Rejected.begin(),
                          this->Move->Rejected.end());
  // Applies also if the order is unknown here or has been replaced.
  if (this->Move && this->Move->State != VersionMove::Phase::Completed &&
      (!this->Order || this->Order->Target != this->Move->Target))
    Result.Avoided.insert(this->Move->Target);
  if (!this->Order)
    return Result;
  const std::string &Target = this->Order->Target;
  const bool Current = this->Move && this->Move->Target == Target;
  if (!Current || this->Stopped ||
      this->Move->State == VersionMove::Phase::RolledBack) {
    Result.Avoided.insert(Target);
    return Result;
  }
  if (this->Move->State == VersionMove::Phase::Completed ||
      this->Move->Share >= 1) {
    Result.Only = Target;
    return Result;
  }
  double &Credit = this->TargetCredits[Route];
  Credit += this->targetShare(Route);
  if (Credit >= 1) {
    Credit -= 1;
    Result.Only = Target;
  } else {
    Result.Avoided.insert(Target);
  }
  return Result;
}

bool VersionSteering::record(const std::string &Route,
                             const std::string &Version, bool Failed, bool Slow,
                             Clock::time_point Now) {
  if (!this->Comparison || !this->Order)
    return false;
  const std::string &Name =
      Version == this->Order->Target ? Version : BaselineName;
  const VersionCounts Counts{1, Failed ? 1U : 0U, Slow && !Failed ? 1U : 0U};
  this->Stats.Counts[{Route, Name}] += Counts;
  this->Comparison->record(Route, Name, Counts, Now);
  return Name != BaselineName && (Failed || Slow) && this->checkStop(Now);
}

bool VersionSteering::observe(const std::string &Source,
                              const MoveReport &Report, Clock::time_point Now) {
  if (!this->Comparison || !this->Order || Report.Target != this->Order->Target)
    return false;
  this->OtherStats[Source] = Report.Stats;
  this->Comparison->observe(Source, Report.Stats, Now);
  return this->checkStop(Now);
}

bool VersionSteering::isSuspect() const {
  struct Pair {
    VersionCounts Target;
    VersionCounts Old;
  };
  std::map<std::string, Pair> ByRoute;
  const auto Add = [&](const VersionStats &Counted) {
    for (const auto &[Key, Counts] : Counted.Counts)
      for (const std::string &Route : {Key.first, std::string()})
        (Key.second == BaselineName ? ByRoute[Route].Old
                                    : ByRoute[Route].Target) += Counts;
  };
  Add(this->Stats);
  for (const auto &Item : this->OtherStats)
    Add(Item.second);
  const auto BadShare = [](const VersionCounts &Counts) {
    const double Bad = double(Counts.Failures + Counts.Slow);
    return Counts.Requests == 0 ? 0 : Bad / double(Counts.Requests);
  };
  return std::any_of(ByRoute.begin(), ByRoute.end(), [&](const auto &Item) {
    const Pair &Counts = Item.second;
    return Counts.Target.Requests >= MinSuspectRequests &&
           BadShare(Counts.Target) > BadShare(Counts.Old) + SuspectMargin;
  });
}

bool VersionSteering::checkStop(Clock::time_point Now) {
  const bool Over = this->Move && this->Move->Target == this->Order->Target &&
                    this->Move->State == VersionMove::Phase::Completed;
  if (this->Stopped || Over || !this->Comparison->check(Now))
    return false;
  this->Stopped = true;
  return true;
}

std::optional<MoveReport> VersionSteering::report() const {
  if (!this->Order || !this->Move ||
      this->Move->Target != this->Order->Target ||
      this->Move->State != VersionMove::Phase::Running)
    return std::nullopt;
  return MoveReport{this->Order->Target, this->Stopped ? 0 : this->Move->Share,
                    0, this->Stats};
}

std::uint64_t VersionSteering::candidateRequests() const {
  return this->Comparison ? this->Comparison->candidateRequests() : 0;
}

} // namespace rr
