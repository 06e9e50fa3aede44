#ifndef REDWINGRACK_IDEMPOTENCY_CLAIMROW_H
#define REDWINGRACK_IDEMPOTENCY_CLAIMROW_H

#include "idempotency/RecordedAnswer.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rr {

/// Value of a claim row.
struct ClaimRow {
  enum class State : std::uint8_t {
    /// Claimed; whether the request ran is not known to others.
    Open,
    /// The request ran and its answer is recorded.
    Done,
    /// The holder never sent the request; anyone may claim the row again.
    Released,
  };

  State Phase = State::Open;
  std::string Token;
  std::string Digest;
  RecordedAnswer Answer;
};

/// JSON text; bytes that need not be UTF-8 are base64.
std::string formatClaimRow(const ClaimRow &Value);
/// Empty for a value that formatClaimRow() does not produce.
std::optional<ClaimRow> parseClaimRow(const std::string &Text);

} // namespace rr

#endif // REDWINGRACK_IDEMPOTENCY_CLAIMROW_H
