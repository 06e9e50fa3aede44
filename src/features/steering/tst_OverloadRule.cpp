#include "steering/OverloadRule.h"
#include "steering/StandbyRule.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

constexpr Clock::time_point Start{1000s};

/// Applies \p Sample every 20 ms for \p Time, beginning at \p Now.
OverloadState applyFor(OverloadState State, const OverloadSample &Sample,
                       Clock::time_point &Now, Clock::duration Time) {
  for (const Clock::time_point End = Now + Time; Now < End; Now += 20ms)
    State = updateOverload(State, Sample, Now);
  return State;
}

} // namespace

TEST_CASE("An instance is overloaded at once above 80% of its callers",
          "[overload]") {
  CHECK_FALSE(updateOverload({}, {0.8, 0ms}, Start).Since);
  CHECK(updateOverload({}, {0.81, 0ms}, Start).Since == Start);
}

// Guards against an announcement because of one long handler.
TEST_CASE("An instance is overloaded when the delay of its event loop stays "
          "above 100 ms",
          "[overload]") {
  Clock::time_point Now = Start;
  OverloadState State = applyFor({}, {0, 120ms}, Now, 400ms);
  CHECK_FALSE(State.Since);
  State = applyFor(State, {0, 90ms}, Now, 20ms);
  State = applyFor(State, {0, 120ms}, Now, 400ms);
  CHECK_FALSE(State.Since);
  CHECK(applyFor(State, {0, 120ms}, Now, 200ms).Since);
}

// Guards against an instance that leaves and enters look-ups with every wave
// of callers.
TEST_CASE("Overload ends only after both values were low for 5 s",
          "[overload]") {
  const OverloadSample Calm{0.59, 49ms};
  Clock::time_point Now = Start;
  const OverloadState Begun = applyFor({}, {0.9, 0ms}, Now, 20ms);
  REQUIRE(Begun.Since);
  SECTION("calm") {
    CHECK(applyFor(Begun, Calm, Now, 4900ms).Since);
    CHECK_FALSE(applyFor(Begun, Calm, Now, 5100ms).Since);
  }
  SECTION("values between the thresholds") {
    CHECK(applyFor(Begun, {0.61, 0ms}, Now, 20s).Since);
    CHECK(applyFor(Begun, {0, 51ms}, Now, 20s).Since);
  }
  SECTION("interrupted calm") {
    OverloadState State = applyFor(Begun, Calm, Now, 4900ms);
    State = applyFor(State, {0.7, 0ms}, Now, 20ms);
    CHECK(applyFor(State, Calm, Now, 4900ms).Since);
  }
}

TEST_CASE("Standbys are needed until they replace the overloaded capacity",
          "[overload]") {
  CHECK_FALSE(isStandbyNeeded({0, 0}));
  CHECK(isStandbyNeeded({0.5, 0}));
  CHECK(isStandbyNeeded({0.5, 0.4}));
  CHECK_FALSE(isStandbyNeeded({0.5, 0.5}));
}

// Guards against all standbys of a zone that go into service for a small
// overload, and against none.
TEST_CASE("Standbys take turns, and wait again after the need has ended",
          "[overload]") {
  for (const char *Name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
    StandbyTurn Turn(Name);
    CHECK_FALSE(Turn.update(false, Start));
    CHECK(Turn.update(true, Start) == (Turn.delay() == 0ms));
    CHECK(Turn.update(true, Start + Turn.delay()));
    CHECK_FALSE(Turn.update(false, Start + 2s));
    CHECK(Turn.update(true, Start + 3s) == (Turn.delay() == 0ms));
    CHECK(Turn.delay() < 1500ms);
  }
}
