#include "steering/ProcessingTimes.h"

#include <algorithm>

namespace rr {

namespace {

/// Key of the estimate for all routes of a service.
const std::string AnyRoute;
constexpr double TimeGain = 0.05;
constexpr double BytesGain = 0.05;
constexpr double ShareGain = 0.03;
/// Initial estimates as fractions of the target latency.
constexpr double DefaultHitFraction = 0.4;
constexpr double DefaultMissFraction = 1.3;
/// Initial hit shares by CacheAffinity.
constexpr std::array<double, CacheAffinityCount> DefaultHitShares = {
    0.7, 0.95, 0.4, 0.8, 0.1, 0.5};
constexpr double MinHitShare = 0.05;
constexpr double MaxHitShare = 0.98;
/// Initial answer sizes by route kind.
constexpr double DefaultAnswerBytes = 4000;
constexpr double DefaultDownloadBytes = 100000;

Clock::duration scaled(Clock::duration Time, double Factor) {
  return Clock::duration(Clock::rep(double(Time.count()) * Factor));
}

double ratio(Clock::duration Time, Clock::duration Usual) {
  return double(std::max(Time.count(), Clock::rep(1))) /
         double(std::max(Usual.count(), Clock::rep(1)));
}

} // namespace

ProcessingTimes::Estimate
ProcessingTimes::estimateFor(const SteeringRoute &Route,
                             const std::string &Service) const {
  // A new route starts with the estimate of the service's other routes.
  for (const std::string &Name : {Route.Name, AnyRoute}) {
    const auto Found = this->Estimates.find({Name, Service});
    if (Found != this->Estimates.end())
      return Found->second;
  }
  return {scaled(Route.TargetLatency, Route.Sticky ? DefaultHitFraction : 1.0),
          scaled(Route.TargetLatency, Route.Sticky ? DefaultMissFraction : 1.0),
          Route.Kind == RouteKind::Download ? DefaultDownloadBytes
                                            : DefaultAnswerBytes,
          DefaultHitShares};
}

double ProcessingTimes::recordAnswer(const SteeringRoute &Route,
                                     const std::string &Service,
                                     CacheAffinity Affinity,
                                     Clock::duration Time,
                                     std::size_t AnswerBytes) {
  const Estimate First = this->estimateFor(Route, Service);
  const double ToHit = ratio(Time, First.Hit);
  const double ToMiss = ratio(Time, First.Miss);
  // Closer to the hit time on a logarithmic scale.
  const bool Hit = ToHit * ToMiss < 1;
  for (const std::string &Name : {AnyRoute, Route.Name}) {
    Estimate &Known =
        this->Estimates.try_emplace({Name, Service}, First).first->second;
    Clock::duration &Mean = Hit ? Known.Hit : Known.Miss;
    Mean += scaled(Time - Mean, TimeGain);
    Known.AnswerBytes += BytesGain * (double(AnswerBytes) - Known.AnswerBytes);
    double &Share = Known.HitShare[static_cast<std::size_t>(Affinity)];
    Share += ShareGain * ((Hit ? 1 : 0) - Share);
    Share = std::clamp(Share, MinHitShare, MaxHitShare);
  }
  return Hit ? ToHit : ToMiss;
}

} // namespace rr
