#ifndef REDWINGRACK_IDEMPOTENCY_CLAIM_H
#define REDWINGRACK_IDEMPOTENCY_CLAIM_H

#include <string>

namespace rr {

/// The right to run one request with an Idempotency-Key.
struct Claim {
  /// `claims/<workspace>/<sha256 of the key>`.
  std::string RowKey;
  /// Random token that identifies the writes of this attempt.
  std::string Token;
  /// Digest of the request for which the key was first used.
  std::string Digest;
};

} // namespace rr

#endif // REDWINGRACK_IDEMPOTENCY_CLAIM_H
