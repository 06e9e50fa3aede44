#include "rollout/RolloutSchedule.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using namespace rr;
using namespace std::chrono_literals;

namespace {

// The same seed on every run; RC_PARAMS in the environment overrides it.
const int Seeded = setenv("RC_PARAMS", "seed=2026", 0);

const WallTime Start{std::chrono::seconds(1'800'000'000)};

/// Steps through all stages at intervals of 0.5 s, with \p Rate requests per
/// second in total, and returns the end of the last stage. \p Delay holds the
/// rollout up after stage 1.
WallTime finishTime(const RolloutSchedule &Schedule, double Rate,
                    std::chrono::milliseconds Delay = 0ms) {
  WallTime Now = Start;
  for (std::size_t Stage = 0; Stage < RolloutSchedule::StageCount; ++Stage) {
    const WallTime Begin = Now;
    double Requests = 0;
    while (!Schedule.mayAdvance(Stage, Begin,
                                static_cast<std::uint64_t>(Requests), Now)) {
      Now += 500ms;
      Requests += Rate / 2 * RolloutSchedule::Shares[Stage];
    }
    Now += Stage == 1 ? Delay : 0ms;
  }
  return Now;
}

} // namespace

// Good versions must meet the operator's deadline, at any request rate and also
// if the store delays the rollout by a third of its time.
TEST_CASE("Stages end in time for the deadline") {
  CHECK(rc::check([] {
    const auto Total = std::chrono::seconds(*rc::gen::inRange(300, 90'000));
    const double Rate = *rc::gen::inRange(0, 5000);
    const auto Delay = *rc::gen::element(0s, Total / 3);
    const auto Soak = RolloutSchedule::defaultSoak(Total);
    const RolloutSchedule Schedule(Start + Total, Soak);
    RC_ASSERT(finishTime(Schedule, Rate, Delay) <= Start + Total);
  }));
}

// A stage must not end before it has received enough requests while there is
// time left.
TEST_CASE("A stage with too few requests lasts longer than one with enough") {
  const RolloutSchedule Schedule(Start + 1h, 300s);
  const WallTime Planned = Schedule.plannedEnd(0, Start);
  CHECK(Planned > Start + 10min);
  CHECK(Schedule.mayAdvance(0, Start, 200, Planned));
  CHECK_FALSE(Schedule.mayAdvance(0, Start, 199, Planned));
  CHECK_FALSE(Schedule.mayAdvance(0, Start, 100'000, Planned - 1s));
  CHECK(Schedule.mayAdvance(0, Start, 0, Schedule.latestEnd(0, Start)));
}

// The soak must not be shortened while the rollout is on time.
TEST_CASE("The last stage lasts the whole soak") {
  const RolloutSchedule Schedule(Start + 1h, 300s);
  CHECK_FALSE(
      Schedule.mayAdvance(4, Start + 40min, 1'000'000, Start + 40min + 299s));
  CHECK(Schedule.mayAdvance(4, Start + 40min, 0, Start + 40min + 300s));
}
