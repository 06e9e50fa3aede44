#include "retry/RetryRule.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace rr {

namespace {

constexpr int MaxAttempts = 3;
// Less time does not suffice for a round trip to another region (35 ms) and an
// answer.
constexpr Clock::duration MinTimeLeft = std::chrono::milliseconds(50);
constexpr std::array<std::string_view, 6> IdempotentMethods{
    "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};

} // namespace

bool isIdempotentMethod(std::string_view Method) {
  return std::find(IdempotentMethods.begin(), IdempotentMethods.end(),
                   Method) != IdempotentMethods.end();
}

RetryDecision decideRetry(const AttemptHistory &History, RetryBudget &Budget,
                          Clock::time_point Now) {
  const auto Refusal = History.MayHaveBeenSent ? RetryDecision::RefuseUnknown
                                               : RetryDecision::RefuseNotRun;
  const bool IsRepeatable =
      History.IdempotentMethod && !History.HasIdempotencyKey;
  if (History.MayHaveBeenSent && !IsRepeatable)
    return Refusal;
  if (History.Suspect || History.Attempts >= MaxAttempts ||
      History.Deadline - Now < MinTimeLeft)
    return Refusal;
  return Budget.tryTake() ? RetryDecision::Retry : Refusal;
}

} // namespace rr
