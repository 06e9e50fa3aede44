#include "retry/RetryRule.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace rr {

namespace {

constexpr int MostAttempts = 3;
// Less than this cannot hold a round trip to another region (35 ms) and an
// answer.
constexpr Clock::duration LeastTimeLeft = std::chrono::milliseconds(50);
constexpr std::array<std::string_view, 6> IdempotentMethods{
    "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};

} // namespace

bool isIdempotentMethod(std::string_view Method) {
  return std::find(IdempotentMethods.begin(), IdempotentMethods.end(),
                   Method) != IdempotentMethods.end();
}

RetryDecision mayRetry(const AttemptHistory &History, RetryBudget &Budget,
                       Clock::time_point Now) {
  const auto Refusal = History.MayHaveLeft ? RetryDecision::RefuseUnknown
                                           : RetryDecision::RefuseNotRun;
  const bool MayRunAgain = History.IdempotentMethod && !History.HasClaim;
  if (History.MayHaveLeft && !MayRunAgain)
    return Refusal;
  if (History.Suspect || History.Attempts >= MostAttempts ||
      History.Deadline - Now < LeastTimeLeft)
    return Refusal;
  return Budget.tryTake() ? RetryDecision::Retry : Refusal;
}

} // namespace rr
