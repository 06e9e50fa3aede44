#include "limits/Apportion.h"

#include <algorithm>
#include <cstddef>
#include <numeric>
#include <utility>

namespace rr {

namespace {

constexpr double DemandFraction = 0.9;

std::vector<double> normalised(const std::vector<double> &Weights) {
  const double Sum = std::accumulate(Weights.begin(), Weights.end(), 0.0);
  std::vector<double> Result(Weights.size(), 1.0 / double(Weights.size()));
  if (Sum > 0)
    std::transform(Weights.begin(), Weights.end(), Result.begin(),
                   [Sum](double Weight) { return Weight / Sum; });
  return Result;
}

} // namespace

std::vector<MicroRequests> apportion(MicroRequests Total,
                                     const std::vector<double> &Weights,
                                     MicroRequests Granularity) {
  const std::vector<double> Fractions = normalised(Weights);
  const MicroRequests Units = Total / Granularity;
  std::vector<MicroRequests> Result(Fractions.size());
  std::vector<double> Remainders(Fractions.size());
  MicroRequests UnitsLeft = Units;
  for (std::size_t I = 0; I < Fractions.size(); ++I) {
    const double Exact = double(Units) * Fractions[I];
    // Floating-point rounding must not assign more units than there are.
    const MicroRequests Whole = std::min(MicroRequests(Exact), UnitsLeft);
    Result[I] = Whole * Granularity;
    Remainders[I] = Exact - double(Whole);
    UnitsLeft -= Whole;
  }
  std::vector<std::size_t> Order(Fractions.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    return std::pair(-Remainders[A], A) < std::pair(-Remainders[B], B);
  });
  for (std::size_t I = 0; UnitsLeft > 0;
       I = (I + 1) % Order.size(), --UnitsLeft)
    Result[Order[I]] += Granularity;
  const auto Largest = std::max_element(Fractions.begin(), Fractions.end());
  Result[std::size_t(Largest - Fractions.begin())] += Total % Granularity;
  return Result;
}

std::vector<double> demandWeights(const std::vector<MicroRequests> &Demands) {
  const std::vector<double> ByDemand =
      normalised(std::vector<double>(Demands.begin(), Demands.end()));
  std::vector<double> Result;
  Result.reserve(ByDemand.size());
  for (const double Fraction : ByDemand)
    Result.push_back(DemandFraction * Fraction +
                     (1 - DemandFraction) / double(ByDemand.size()));
  return Result;
}

std::size_t primaryHolderCount(MicroRequests Burst, std::size_t Holders) {
  return std::clamp<std::size_t>(std::size_t(Burst / BurstPerPrimaryHolder), 1,
                                 std::max<std::size_t>(Holders, 1));
}

std::vector<ShareAmount> divideAllowance(const ShareAmount &Total,
                                         std::vector<double> Weights,
                                         std::size_t PrimaryHolders,
                                         const std::vector<ShareAmount> &Held) {
  std::vector<std::size_t> Order(Weights.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  const auto Score = [&](std::size_t I) {
    // A single primary holder has most of the burst, even while a part is lent.
    if (PrimaryHolders == 1)
      return double(Held[I].Burst) + Weights[I];
    const bool IsPrimary = 2 * Held[I].Burst >= BurstPerPrimaryHolder;
    return Weights[I] * (IsPrimary ? PrimaryHolderBonus : 1);
  };
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    return std::pair(-Score(A), A) < std::pair(-Score(B), B);
  });
  for (std::size_t I = PrimaryHolders; I < Order.size(); ++I)
    Weights[Order[I]] = 0;
  const auto Bursts = apportion(Total.Burst, Weights, OneRequest);
  // A rate is wasted in a bucket that cannot hold a whole request.
  if (Total.Burst >= OneRequest)
    for (std::size_t I = 0; I < Weights.size(); ++I)
      if (Bursts[I] < OneRequest)
        Weights[I] = 0;
  const auto Rates = apportion(Total.Rate, Weights, 1);
  std::vector<ShareAmount> Result(Weights.size());
  for (std::size_t I = 0; I < Weights.size(); ++I)
    Result[I] = {Rates[I], Bursts[I], 0};
  return Result;
}

} // namespace rr
