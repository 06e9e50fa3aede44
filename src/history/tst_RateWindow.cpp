#include "history/RateWindow.h"

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
