#ifndef REDWINGRACK_IDEMPOTENCY_CLAIMROW_H
#define REDWINGRACK_IDEMPOTENCY_CLAIMROW_H

#include "idempotency/RecordedAnswer.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rr {

/// Value of a claim row.
struct ClaimRow {
  enum class ClaimState : std::uint8_t {
    /// Claimed; other attempts cannot tell whether the request ran.
    Open,
    /// The request ran and its answer is recorded.
    Done,
    /// The holder never sent the request; anyone may claim the row again.
    Released,
  };

  ClaimState State = ClaimState::Open;
  std::string Token;
  std::string Digest;
  RecordedAnswer Answer;
};

/// Serialises to JSON. Headers and body, which may not be UTF-8, are base64.
std::string formatClaimRow(const ClaimRow &Value);
/// Returns std::nullopt if \p Text is not a valid claim row.
std::optional<ClaimRow> parseClaimRow(const std::string &Text);

} // namespace rr

#endif // REDWINGRACK_IDEMPOTENCY_CLAIMROW_H
