#include "history/PrefixMaximum.h"
#include "history/RateWindow.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdlib>
#include <rapidcheck.h>

using namespace rr;
using namespace rr::history;
using namespace std::chrono_literals;

namespace {

const int SeedIsSet = setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);

/// Tries every window that begins and ends at an admission.
double worstExcess(const std::vector<Admission> &Admissions,
                   const RateBudget &Budget, double Burst) {
  double Worst = -INFINITY;
  for (const Admission &First : Admissions)
    for (const Admission &Last : Admissions) {
      if (Last.Latest < First.Earliest)
        continue;
      double Count = 0;
      for (const Admission &Item : Admissions)
        Count += First.Earliest <= Item.Earliest && Item.Latest <= Last.Latest;
      Worst = std::max(Worst, Count - Burst -
                                  Budget.between(First.Earliest, Last.Latest));
    }
  return Worst;
}

} // namespace

// Guards against windows that the n log n search misses or makes up.
TEST_CASE("The window search agrees with trying every window") {
  REQUIRE(SeedIsSet == 0);
  CHECK(rc::check([] {
    const auto Times = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 10'000), rc::gen::inRange(0, 400)));
    std::vector<Admission> Admissions;
    for (const auto &[Begin, Length] : Times)
      Admissions.push_back({Clock::time_point(Begin * 1ms),
                            Clock::time_point((Begin + Length) * 1ms)});
    RateBudget Budget;
    Budget.add(Clock::time_point(1s), *rc::gen::inRange(1, 9));
    Budget.add(Clock::time_point(4s), *rc::gen::inRange(0, 9));
    const double Burst = *rc::gen::inRange(1, 8);
    const double Worst = worstExcess(Admissions, Budget, Burst);
    const auto Window = findExcess(Admissions, Budget, Burst);
    RC_ASSERT(Window.has_value() == (Worst > 1e-6));
    if (Window)
      RC_ASSERT(std::abs(double(Window->Admitted) - Window->Allowed - Worst) <
                1e-6);
  }));
}

// Guards against sums that are lost or counted twice inside the tree.
TEST_CASE("The tree of maxima agrees with a plain row") {
  CHECK(rc::check([] {
    const auto Size = *rc::gen::inRange<std::size_t>(1, 40);
    std::vector<double> Row(Size);
    PrefixMaximum Tree(Row);
    const auto Counts = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(1, Size + 1));
    for (const std::size_t Count : Counts) {
      // Whole numbers, so that the sums are exact in any order.
      const double Amount = double(Count * 7 % 11) - 5;
      Tree.addToPrefix(Count, Amount);
      for (std::size_t I = 0; I < Count; ++I)
        Row[I] += Amount;
      for (std::size_t I = 1; I <= Size; ++I) {
        const auto [Value, Index] = Tree.maximumOfPrefix(I);
        const double Wanted =
            *std::max_element(Row.begin(), Row.begin() + std::ptrdiff_t(I));
        RC_ASSERT(Value == Wanted);
        RC_ASSERT(Index < I);
        RC_ASSERT(Row[Index] == Wanted);
      }
    }
  }));
}
