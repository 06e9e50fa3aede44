#ifndef REDWINGRACK_RETRY_RETRYRULE_H
#define REDWINGRACK_RETRY_RETRYRULE_H

#include "retry/AttemptHistory.h"
#include "retry/RetryBudget.h"

#include <cstdint>
#include <string_view>

namespace rr {

/// Action after a failed attempt.
enum class RetryDecision : std::uint8_t {
  Retry,
  /// Refuse; no byte of the request can have been sent.
  RefuseNotRun,
  /// Refuse; the request may have run.
  RefuseUnknown,
};

/// Methods that RFC 9110 section 9.2.2 calls idempotent.
bool isIdempotentMethod(std::string_view Method);

/// Decides whether to make another attempt. Takes from \p Budget only if the
/// result is Retry.
RetryDecision decideRetry(const AttemptHistory &History, RetryBudget &Budget,
                          Clock::time_point Now);

} // namespace rr

#endif // REDWINGRACK_RETRY_RETRYRULE_H
