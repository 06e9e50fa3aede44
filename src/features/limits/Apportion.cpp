#include "limits/Apportion.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace rr {

namespace {

constexpr double DemandPart = 0.9;

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
                                     MicroRequests Grain) {
  const std::vector<double> Parts = normalised(Weights);
  const MicroRequests Grains = Total / Grain;
  std::vector<MicroRequests> Result(Parts.size());
  std::vector<double> Remainders(Parts.size());
  MicroRequests Left = Grains;
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    const double Exact = double(Grains) * Parts[I];
    // Rounding of the product must not hand out more than there is.
    const MicroRequests Whole = std::min(MicroRequests(Exact), Left);
    Result[I] = Whole * Grain;
    Remainders[I] = Exact - double(Whole);
    Left -= Whole;
  }
  std::vector<std::size_t> Order(Parts.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  std::stable_sort(Order.begin(), Order.end(),
                   [&](std::size_t A, std::size_t B) {
                     return Remainders[A] > Remainders[B];
                   });
  for (std::size_t I = 0; Left > 0; I = (I + 1) % Order.size(), --Left)
    Result[Order[I]] += Grain;
  const auto Largest = std::max_element(Parts.begin(), Parts.end());
  Result[std::size_t(Largest - Parts.begin())] += Total % Grain;
  return Result;
}

std::vector<double> demandWeights(const std::vector<MicroRequests> &Demands) {
  const std::vector<double> ByDemand =
      normalised(std::vector<double>(Demands.begin(), Demands.end()));
  std::vector<double> Result;
  Result.reserve(ByDemand.size());
  for (const double Part : ByDemand)
    Result.push_back(DemandPart * Part +
                     (1 - DemandPart) / double(ByDemand.size()));
  return Result;
}

std::vector<ShareAmount> divideAllowance(const ShareAmount &Total,
                                         std::vector<double> Weights) {
  const auto Bursts = apportion(Total.Burst, Weights, OneRequest);
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
