#include "retry/RetryRule.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Now{1000s};

RetryBudget filled() {
  RetryBudget Budget;
  for (int I = 0; I < 1000; ++I)
    Budget.addRequest();
  return Budget;
}

AttemptHistory history() {
  AttemptHistory Result;
  Result.IdempotentMethod = true;
  Result.Deadline = Now + 1s;
  return Result;
}

RetryDecision decide(const AttemptHistory &History) {
  RetryBudget Budget = filled();
  return decideRetry(History, Budget, Now);
}

} // namespace

// Guards against repeating a request that may have run and is not repeatable.
TEST_CASE(
    "Only an idempotent request without an idempotency key is sent twice") {
  auto History = history();
  CHECK(decide(History) == RetryDecision::Retry);
  History.MayHaveBeenSent = true;
  CHECK(decide(History) == RetryDecision::Retry);
  History.HasIdempotencyKey = true;
  CHECK(decide(History) == RetryDecision::RefuseUnknown);
  History.HasIdempotencyKey = false;
  History.IdempotentMethod = isIdempotentMethod("POST");
  CHECK(decide(History) == RetryDecision::RefuseUnknown);
  History.MayHaveBeenSent = false;
  CHECK(decide(History) == RetryDecision::Retry);
}

// Guards against limits that are ignored, and against a refusal that reports
// the wrong execution state.
TEST_CASE("Each limit refuses, and reports correctly whether the request may "
          "have run") {
  auto Late = history(), Often = history(), Suspect = history();
  Late.Deadline = Now + 49ms;
  Often.Attempts = 3;
  Suspect.Suspect = true;
  for (AttemptHistory *History : {&Late, &Often, &Suspect}) {
    CHECK(decide(*History) == RetryDecision::RefuseNotRun);
    History->MayHaveBeenSent = true;
    CHECK(decide(*History) == RetryDecision::RefuseUnknown);
  }
  RetryBudget Empty;
  CHECK(decideRetry(history(), Empty, Now) == RetryDecision::RefuseNotRun);
}

// Guards against retries that multiply the load on a failing service, and
// against unlimited accumulation of retries.
TEST_CASE("Retries stay within a tenth of the requests plus the reserve") {
  RetryBudget Budget = filled();
  int Retries = 0;
  for (int Request = 0; Request < 10000; ++Request) {
    Budget.addRequest();
    auto History = history();
    for (; decideRetry(History, Budget, Now) == RetryDecision::Retry; ++Retries)
      ++History.Attempts;
  }
  CHECK(Retries >= 1000);
  CHECK(Retries <= 1000 + static_cast<int>(RetryBudget::DefaultReserve));
}

// Guards against refusals that use up the budget.
TEST_CASE("A refusal takes nothing from the budget") {
  RetryBudget Budget;
  for (int I = 0; I < 10; ++I)
    Budget.addRequest();
  auto Suspect = history();
  Suspect.Suspect = true;
  CHECK(decideRetry(Suspect, Budget, Now) == RetryDecision::RefuseNotRun);
  CHECK(decideRetry(history(), Budget, Now) == RetryDecision::Retry);
  CHECK(decideRetry(history(), Budget, Now) == RetryDecision::RefuseNotRun);
}
