#include "rollout/VersionRule.h"

#include <cmath>

namespace rr {

namespace {

double wilsonBound(std::uint64_t Events, std::uint64_t Requests, double Sigma) {
  const double N = static_cast<double>(Requests);
  const double Share = static_cast<double>(Events) / N;
  const double Square = Sigma * Sigma;
  const double Center = Share + Square / (2 * N);
  const double HalfWidth =
      Sigma * std::sqrt(Share * (1 - Share) / N + Square / (4 * N * N));
  return (Center + HalfWidth) / (1 + Square / N);
}

} // namespace

double wilsonUpper(std::uint64_t Events, std::uint64_t Requests, double Sigma) {
  return Requests == 0 ? 1 : wilsonBound(Events, Requests, Sigma);
}

double wilsonLower(std::uint64_t Events, std::uint64_t Requests, double Sigma) {
  return Requests == 0 ? 0 : wilsonBound(Events, Requests, -Sigma);
}

double chernoffBound(std::uint64_t Events, std::uint64_t Requests,
                     double Share) {
  const double N = static_cast<double>(Requests);
  const double Observed = static_cast<double>(Events) / N;
  if (Requests == 0 || Observed <= Share)
    return 1;
  if (Share <= 0)
    return 0;
  double Divergence = Observed * std::log(Observed / Share);
  if (Observed < 1)
    Divergence += (1 - Observed) * std::log((1 - Observed) / (1 - Share));
  return std::exp(-N * Divergence);
}

bool isWorse(const VersionRule &Rule, std::uint64_t Events,
             std::uint64_t Requests, std::uint64_t StableEvents,
             std::uint64_t StableRequests) {
  if (Events < Rule.MinEvents)
    return false;
  const double Upper = wilsonUpper(StableEvents, StableRequests, Rule.Sigma);
  return wilsonLower(Events, Requests, Rule.Sigma) > Upper + Rule.Margin &&
         chernoffBound(Events, Requests, Upper) < Rule.MaxProbability;
}

} // namespace rr
