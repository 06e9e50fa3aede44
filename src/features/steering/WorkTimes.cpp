#include "steering/WorkTimes.h"

namespace rr {

namespace {

constexpr double TimeGain = 0.05;
constexpr double BytesGain = 0.05;
/// First guesses as parts of the target latency.
constexpr double FirstWarm = 0.6;
constexpr double FirstMiss = 1.3;
/// First guess, in bytes, by kind.
constexpr double FirstAnswerBytes = 4000;
constexpr double FirstDownloadBytes = 100000;

Clock::duration scaled(Clock::duration Time, double Factor) {
  return Clock::duration(Clock::rep(double(Time.count()) * Factor));
}

} // namespace

WorkTimes::Estimate WorkTimes::of(const SteeringRoute &Route,
                                  const std::string &Service) const {
  const auto Found = this->Estimates.find({Route.Name, Service});
  if (Found != this->Estimates.end())
    return Found->second;
  return {scaled(Route.TargetLatency, Route.Sticky ? FirstWarm : 1.0),
          scaled(Route.TargetLatency, Route.Sticky ? FirstMiss : 1.0),
          Route.Kind == RouteKind::Download ? FirstDownloadBytes
                                            : FirstAnswerBytes};
}

void WorkTimes::note(const SteeringRoute &Route, const std::string &Service,
                     bool Warm, Clock::duration Time, std::size_t AnswerBytes) {
  auto Item = this->Estimates
                  .try_emplace({Route.Name, Service}, this->of(Route, Service))
                  .first;
  Estimate &Known = Item->second;
  Clock::duration &Mean = Warm ? Known.Warm : Known.Miss;
  Mean += scaled(Time - Mean, TimeGain);
  Known.AnswerBytes += BytesGain * (double(AnswerBytes) - Known.AnswerBytes);
}

} // namespace rr
