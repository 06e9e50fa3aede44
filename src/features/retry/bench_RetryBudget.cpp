// Compares the load on a failing service with and without a retry budget.
#include "base/Random.h"
#include "retry/RetryRule.h"

#include <chrono>
#include <cstdio>

using namespace rr;
using namespace std::chrono_literals;

namespace {

constexpr int Requests = 100000;
// Percentage that always covers the maximum number of attempts.
constexpr std::uint32_t NoLimit = 1000;

void simulate(unsigned FailurePercent, std::uint32_t BudgetPercent) {
  RandomEngine Engine(1);
  RetryBudget Budget(BudgetPercent);
  const Clock::time_point Now{1000s};
  int Sent = 0, Answered = 0;
  for (int I = 0; I < Requests; ++I) {
    Budget.addRequest();
    AttemptHistory History;
    History.IdempotentMethod = true;
    History.MayHaveBeenSent = true;
    History.Deadline = Now + 5s;
    for (History.Attempts = 1;; ++History.Attempts) {
      ++Sent;
      if (Engine() % 100 >= FailurePercent) {
        ++Answered;
        break;
      }
      if (decideRetry(History, Budget, Now) != RetryDecision::Retry)
        break;
    }
  }
  std::printf("%3u%% of attempts fail, budget %4u%%: load x %.2f, "
              "answered %.2f%%\n",
              FailurePercent, BudgetPercent, 1.0 * Sent / Requests,
              100.0 * Answered / Requests);
}

} // namespace

int main() {
  for (const unsigned FailurePercent : {1U, 5U, 30U, 100U}) {
    simulate(FailurePercent, RetryBudget::DefaultPercent);
    simulate(FailurePercent, NoLimit);
  }
  return 0;
}
