#ifndef REDWINGRACK_IDEMPOTENCY_CLAIM_H
#define REDWINGRACK_IDEMPOTENCY_CLAIM_H

#include <string>

namespace rr {

/// The right to run one request with an Idempotency-Key.
struct Claim {
  /// `claims/<workspace>/<sha256 of the key>`.
  std::string RowKey;
  /// Random; tells the writes of this attempt from those of others.
  std::string Token;
  /// Digest of the request that the key stands for.
  std::string Digest;
};

} // namespace rr

#endif // REDWINGRACK_IDEMPOTENCY_CLAIM_H
