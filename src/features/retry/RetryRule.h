#ifndef REDWINGRACK_RETRY_RETRYRULE_H
#define REDWINGRACK_RETRY_RETRYRULE_H

#include "retry/AttemptHistory.h"
#include "retry/RetryBudget.h"

#include <cstdint>
#include <string_view>

namespace rr {

/// What follows a failed attempt.
enum class RetryDecision : std::uint8_t {
  Retry,
  /// Refuse; no byte of the request can have left.
  RefuseNotRun,
  /// Refuse; the request may have run.
  RefuseUnknown,
};

/// Methods that RFC 9110 section 9.2.2 calls idempotent.
bool isIdempotentMethod(std::string_view Method);

/// Decides about another attempt; takes from \p Budget only for a retry.
RetryDecision decideRetry(const AttemptHistory &History, RetryBudget &Budget,
                          Clock::time_point Now);

} // namespace rr

#endif // REDWINGRACK_RETRY_RETRYRULE_H
