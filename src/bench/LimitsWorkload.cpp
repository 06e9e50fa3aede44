#include "bench/LimitsWorkload.h"

#include "base/Random.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace rr {

namespace {

constexpr double ZipfExponent = 1.2;
constexpr double LoudFactor = 10;

/// Standard distributions differ between libraries; these do not.
double uniform(RandomEngine &Random) {
  return double(Random() >> 11) / double(1ULL << 53);
}

double exponential(RandomEngine &Random, double PerSecond) {
  return -std::log(1 - uniform(Random)) / PerSecond;
}

std::array<std::size_t, BenchInstances> shuffled(RandomEngine &Random) {
  std::array<std::size_t, BenchInstances> Order{};
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  for (std::size_t I = Order.size() - 1; I > 0; --I)
    std::swap(Order[I], Order[Random() % (I + 1)]);
  return Order;
}

std::size_t zipfRank(RandomEngine &Random) {
  std::array<double, BenchInstances> Sums{};
  double Sum = 0;
  for (std::size_t I = 0; I < Sums.size(); ++I)
    Sums[I] = Sum += std::pow(double(I + 1), -ZipfExponent);
  const auto Found =
      std::upper_bound(Sums.begin(), Sums.end(), uniform(Random) * Sum);
  return std::min<std::size_t>(std::size_t(Found - Sums.begin()),
                               BenchInstances - 1);
}

void addWorkspace(const LimitsScenario &Scenario, std::size_t Workspace,
                  std::vector<LimitsArrival> &Result) {
  RandomEngine Random(Scenario.Seed * 1000 + Workspace);
  const double Factor =
      int(Workspace) == Scenario.Loud ? LoudFactor : Scenario.Load;
  const double End = double(Scenario.Length.count());
  auto Order = shuffled(Random);
  double MoveAt = 3 + 5 * uniform(Random);
  double Now = 0;
  while (true) {
    Now += exponential(Random, BenchRates[Workspace] * Factor);
    if (Now >= End)
      return;
    while (Scenario.Moving && Now >= MoveAt) {
      Order = shuffled(Random);
      MoveAt += 3 + 5 * uniform(Random);
    }
    Result.push_back({std::chrono::duration_cast<Clock::duration>(
                          std::chrono::duration<double>(Now)),
                      Workspace, Order[zipfRank(Random)]});
  }
}

} // namespace

std::vector<LimitsArrival> makeArrivals(const LimitsScenario &Scenario) {
  std::vector<LimitsArrival> Result;
  for (std::size_t I = 0; I < BenchWorkspaces; ++I)
    addWorkspace(Scenario, I, Result);
  std::sort(Result.begin(), Result.end(),
            [](const LimitsArrival &Left, const LimitsArrival &Right) {
              return std::tie(Left.At, Left.Workspace, Left.Instance) <
                     std::tie(Right.At, Right.Workspace, Right.Instance);
            });
  return Result;
}

} // namespace rr
