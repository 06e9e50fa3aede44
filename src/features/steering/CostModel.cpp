#include "steering/CostModel.h"

#include <algorithm>
#include <cmath>

namespace rr {

namespace {

/// Tables of 16 bytes an entry: 64 KB and 16 KB.
constexpr std::size_t ObjectEntries = 4096;
constexpr std::size_t WorkspaceEntries = 1024;
constexpr std::size_t MaxRoutes = 1024;
/// Initial work as fractions of the target latency. The target is shorter than
/// the cold work on most routes.
constexpr double DefaultHitFraction = 0.4;
constexpr double DefaultMissFraction = 1.3;
/// Initial hit shares by CacheAffinity.
constexpr std::array<double, CacheAffinityCount> DefaultHitShares = {
    0.7, 0.95, 0.4, 0.8, 0.1, 0.5};
constexpr double MinHitShare = 0.03;
constexpr double MaxHitShare = 0.98;
/// Initial share, factor and spread; they only matter for the first answers.
constexpr double DefaultHeavyShare = 0.03;
constexpr double DefaultHeavyFactor = 6;
constexpr double DefaultSpread = 0.25;
/// A factor below this is not told from the spread.
constexpr double MinHeavyFactor = 3;
constexpr double MaxHeavyFactor = 30;
constexpr double MaxHeavyShare = 0.3;
constexpr double MinSpread = 0.1;
constexpr double MaxSpread = 0.6;
/// Cached and cold work are kept apart, so that both stay identifiable.
constexpr double MaxHitRatio = 0.75;
/// Least weight of one observation; the first ones weigh more.
constexpr double MinTimeGain = 0.03;
constexpr double MinShareGain = 0.03;
constexpr int ShareSamplesAtStart = 8;
constexpr double HeavyGain = 0.005;
constexpr double HeavyFactorGain = 0.1;
constexpr double SpreadGain = 0.02;
constexpr double BytesGain = 0.05;
constexpr double DefaultAnswerBytes = 4000;
constexpr double DefaultDownloadBytes = 100000;
/// Observations are bounded relative to the expected work.
constexpr double MinWork = 1e-4;

struct Explanation {
  bool Hit = false;
  bool Heavy = false;
  double Ratio = 1;
};

/// The case that explains the work best: the density of a normal distribution
/// of the logarithm, weighted with the share of the case.
Explanation explain(const RequestCost &Cost, bool Cached, double Work) {
  Explanation Best;
  double BestScore = -1e300;
  for (const bool Hit : {true, false}) {
    const double Share = Hit ? Cost.HitShare : 1 - Cost.HitShare;
    if (Hit ? !Cached : !(Share > 0))
      continue;
    for (const bool Heavy : {false, true}) {
      const double Mean =
          (Hit ? Cost.Hit : Cost.Miss).count() * (Heavy ? Cost.HeavyFactor : 1);
      const double Distance = std::log(Work / Mean) / Cost.Spread;
      const double Prior =
          Share * (Heavy ? Cost.HeavyShare : 1 - Cost.HeavyShare);
      const double Score = std::log(Prior) - Distance * Distance / 2;
      if (Score > BestScore) {
        BestScore = Score;
        Best = {Hit, Heavy, Work / Mean};
      }
    }
  }
  return Best;
}

} // namespace

CostModel::CostModel() : Objects(ObjectEntries), Workspaces(WorkspaceEntries) {}

bool usesCache(const PlacementQuery &Query) {
  return Query.Route->Sticky && Query.Object;
}

RouteCost CostModel::routeCost(const SteeringRoute &Route,
                               const std::string &Service) const {
  const auto Found = this->Costs.find(Service);
  if (Found != this->Costs.end()) {
    const auto Known = Found->second.find(Route.Name);
    if (Known != Found->second.end())
      return Known->second;
  }
  RouteCost Result;
  const Seconds Target = Route.TargetLatency;
  Result.Cost.Hit = Target * (Route.Sticky ? DefaultHitFraction : 1);
  Result.Cost.Miss = Target * (Route.Sticky ? DefaultMissFraction : 1);
  Result.Cost.HeavyShare = DefaultHeavyShare;
  Result.Cost.HeavyFactor = DefaultHeavyFactor;
  Result.Cost.Spread = DefaultSpread;
  Result.HitShare = DefaultHitShares;
  Result.AnswerBytes = Route.Kind == RouteKind::Download ? DefaultDownloadBytes
                                                         : DefaultAnswerBytes;
  return Result;
}

double CostModel::correction(const PlacementQuery &Query) const {
  double Ratio = 1;
  if (Query.Object)
    Ratio *= this->Objects.ratio(*Query.Object);
  if (Query.Workspace)
    Ratio *= this->Workspaces.ratio(*Query.Workspace);
  return Ratio;
}

RequestCost costAt(const RouteCost &Route, const PlacementQuery &Query,
                   double Correction, CacheAffinity Affinity) {
  RequestCost Result = Route.Cost;
  Result.Hit *= Correction;
  Result.Miss *= Correction;
  Result.HitShare =
      usesCache(Query) ? Route.HitShare[static_cast<std::size_t>(Affinity)] : 0;
  return Result;
}

double CostModel::record(const PlacementQuery &Query, CacheAffinity Affinity,
                         Seconds Work, std::size_t AnswerBytes) {
  const double Correction = this->correction(Query);
  const bool Cached = usesCache(Query);
  RouteCost Known = this->routeCost(*Query.Route, Query.Service);
  const double Observed = std::max(MinWork, Work.count());
  const Explanation Case =
      explain(costAt(Known, Query, Correction, Affinity), Cached, Observed);
  RequestCost &Cost = Known.Cost;
  Cost.HeavyShare =
      std::clamp(Cost.HeavyShare + HeavyGain * (Case.Heavy - Cost.HeavyShare),
                 HeavyGain, MaxHeavyShare);
  if (Case.Heavy) {
    Cost.HeavyFactor =
        std::clamp(Cost.HeavyFactor * (1 + HeavyFactorGain * (Case.Ratio - 1)),
                   MinHeavyFactor, MaxHeavyFactor);
  } else {
    int &Samples = Case.Hit ? Known.HitTimes : Known.MissTimes;
    Seconds &Mean = Case.Hit ? Cost.Hit : Cost.Miss;
    const double Gain = std::max(MinTimeGain, 1.0 / (2 + Samples));
    Samples = std::min(Samples + 1, 1000);
    Mean += Gain * (Case.Ratio - 1) * Mean;
    if (Cached)
      Cost.Hit = std::min(Cost.Hit, MaxHitRatio * Cost.Miss);
    const double Log = std::log(Case.Ratio);
    const double Variance = Cost.Spread * Cost.Spread;
    Cost.Spread =
        std::clamp(std::sqrt(Variance + SpreadGain * (Log * Log - Variance)),
                   MinSpread, MaxSpread);
    if (Query.Object)
      this->Objects.record(*Query.Object, Case.Ratio * Correction);
    if (Query.Workspace)
      this->Workspaces.record(*Query.Workspace, Case.Ratio * Correction);
  }
  if (Cached) {
    const auto Index = static_cast<std::size_t>(Affinity);
    int &Samples = Known.HitSamples[Index];
    const double Gain =
        std::max(MinShareGain, 1.0 / (ShareSamplesAtStart + Samples));
    Samples = std::min(Samples + 1, 1000);
    double &Share = Known.HitShare[Index];
    Share =
        std::clamp(Share + Gain * (Case.Hit - Share), MinHitShare, MaxHitShare);
  }
  Known.AnswerBytes += BytesGain * (double(AnswerBytes) - Known.AnswerBytes);
  auto &Service = this->Costs[Query.Service];
  const auto Entry = Service.find(Query.Route->Name);
  if (Entry != Service.end()) {
    Entry->second = Known;
  } else if (this->Routes < MaxRoutes) {
    Service.emplace(Query.Route->Name, Known);
    ++this->Routes;
  }
  return Case.Ratio;
}

} // namespace rr
