#include "gateway/StopDecision.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{100s};

/// A request that is passed on \p Since after the start of a stop of 6 s.
StopQuery queryAt(Clock::duration Since) {
  StopQuery Query;
  Query.Now = Start + Since;
  Query.AnswerBy = planStop(Start, 6s).AnswerBy;
  Query.TimeLimit = 2500ms;
  Query.ExpectedWork = 1s;
  return Query;
}

} // namespace

TEST_CASE("The steps of a stop are in order and use most of its time",
          "[instance]") {
  for (const Clock::duration Time : {200ms, 1000ms, 3000ms, 6000ms, 60000ms}) {
    CAPTURE(Time.count());
    const StopSchedule Plan = planStop(Start, Time);
    CHECK(Start < Plan.AcceptUntil);
    CHECK(Plan.AcceptUntil < Plan.ReadUntil);
    CHECK(Plan.ReadUntil < Plan.AnswerBy);
    CHECK(Plan.AnswerBy < Plan.ExitAt);
    CHECK(Plan.ExitAt < Start + Time);
    CHECK(Plan.AnswerBy - Start >= Time * 9 / 10);
  }
  CHECK(planStop(Start, 6s).AnswerBy == Start + 5700ms);
  CHECK(planStop(Start, 6s).ReadUntil == Start + 5200ms);
  CHECK(planStop(Start, 6s).ExitAt == Start + 5900ms);
}

// Guards against a request that is passed on so late in a stop that its server
// is still at work when the process ends.
TEST_CASE("A request is passed on in a stop as long as its time limit ends "
          "before the stop",
          "[instance]") {
  CHECK(finishesBeforeStop(queryAt(0s)));
  CHECK(finishesBeforeStop(queryAt(3200ms)));
  CHECK_FALSE(finishesBeforeStop(queryAt(3201ms)));
  CHECK_FALSE(finishesBeforeStop(queryAt(5700ms)));
  CHECK_FALSE(finishesBeforeStop(queryAt(7s)));
}

// Guards against refusals of requests that take a small part of their limit.
TEST_CASE("A short request is passed on late in a stop", "[instance]") {
  StopQuery Query = queryAt(5s);
  Query.TimeLimit = 10s;
  Query.ExpectedWork = 50ms;
  CHECK(finishesBeforeStop(Query));
  Query.ExpectedWork = 100ms;
  CHECK_FALSE(finishesBeforeStop(Query));
  // Another instance can repeat it if it is broken off after all.
  Query.Repeatable = true;
  CHECK(finishesBeforeStop(Query));
}

// Guards against downloads whose transfer is cut by the end of the process.
TEST_CASE("The transfer of a large answer is part of the time needed",
          "[instance]") {
  StopQuery Query = queryAt(4s);
  Query.ExpectedWork = 100ms;
  REQUIRE(finishesBeforeStop(Query));
  Query.AnswerBytes = 2 << 20;
  CHECK_FALSE(finishesBeforeStop(Query));
  CHECK(timeNeeded(Query) == 2800ms);
}

TEST_CASE("A caller that waits no longer makes the request short",
          "[instance]") {
  StopQuery Query = queryAt(5s);
  Query.TimeLimit = 500ms;
  CHECK(finishesBeforeStop(Query));
}

TEST_CASE("Without a stop every request is passed on", "[instance]") {
  StopQuery Query = queryAt(0s);
  Query.AnswerBy = Clock::time_point::max();
  Query.TimeLimit = 24h;
  Query.ExpectedWork = 24h;
  CHECK(finishesBeforeStop(Query));
}
