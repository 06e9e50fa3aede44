#include "rollout/VersionRule.h"

#include <cmath>

namespace rr {

namespace {

double wilsonBound(std::uint64_t Events, std::uint64_t Requests, double Sigma) {
  const double N = static_cast<double>(Requests);
  const double Share = static_cast<double>(Events) / N;
  const double Square = Sigma * Sigma;
  const double Middle = Share + Square / (2 * N);
  const double Width =
      Sigma * std::sqrt(Share * (1 - Share) / N + Square / (4 * N * N));
  return (Middle + Width) / (1 + Square / N);
}

} // namespace

double wilsonUpper(std::uint64_t Events, std::uint64_t Requests, double Sigma) {
  return Requests == 0 ? 1 : wilsonBound(Events, Requests, Sigma);
}

double wilsonLower(std::uint64_t Events, std::uint64_t Requests, double Sigma) {
  return Requests == 0 ? 0 : wilsonBound(Events, Requests, -Sigma);
}

double chanceLimit(std::uint64_t Events, std::uint64_t Requests, double Share) {
  const double N = static_cast<double>(Requests);
  const double Seen = static_cast<double>(Events) / N;
  if (Requests == 0 || Seen <= Share)
    return 1;
  if (Share <= 0)
    return 0;
  double Divergence = Seen * std::log(Seen / Share);
  if (Seen < 1)
    Divergence += (1 - Seen) * std::log((1 - Seen) / (1 - Share));
  return std::exp(-N * Divergence);
}

bool isWorse(const VersionRule &Rule, std::uint64_t Events,
             std::uint64_t Requests, std::uint64_t StableEvents,
             std::uint64_t StableRequests) {
  if (Events < Rule.MinEvents)
    return false;
  const double Upper = wilsonUpper(StableEvents, StableRequests, Rule.Sigma);
  return wilsonLower(Events, Requests, Rule.Sigma) > Upper + Rule.Margin &&
         chanceLimit(Events, Requests, Upper) < Rule.MaxProbability;
}

} // namespace rr
