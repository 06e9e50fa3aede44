#include "instance/DispatchOutcome.h"

#include "base/Errc.h"

namespace rr {

namespace {

constexpr std::chrono::seconds ShortRetryAfter{1};

} // namespace

DispatchResult notRun(const std::string &Reason) {
  DispatchResult Result;
  Result.Outcome = Execution::NotRun;
  Result.Reason = Reason;
  Result.RetryAfter = ShortRetryAfter;
  return Result;
}

DispatchResult unknown(const std::string &Reason) {
  DispatchResult Result;
  Result.Outcome = Execution::Unknown;
  Result.Reason = Reason;
  return Result;
}

// Errors of a call that show that the peer did not run it.
bool showsNotRun(const std::error_code &Error) {
  return Error == Errc::Unavailable || Error == Errc::LimitReached ||
         Error == Errc::TooLarge || Error == Errc::Malformed ||
         Error == Errc::NotFound || Error == Errc::ConnectionRefused;
}

bool isServerFault(const DispatchResult &Result) {
  return !Result.Answered || Result.Status >= 500;
}

// Nothing has left for a server in these cases, so that asking another one is
// no retry and needs no budget.
bool mayPlaceAgain(const DispatchResult &Result) {
  return Result.Outcome == Execution::NotRun &&
         (Result.Reason == NoSlot || Result.Reason == "server_unreachable");
}

RequestOutcome outcomeOf(const DispatchResult &Result) {
  if (Result.Reason == "cancelled")
    return RequestOutcome::Abandoned;
  return isServerFault(Result) ? RequestOutcome::Failure
                               : RequestOutcome::Success;
}

} // namespace rr
