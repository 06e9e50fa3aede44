#ifndef REDWINGRACK_IDEMPOTENCY_CLAIMRESULT_H
#define REDWINGRACK_IDEMPOTENCY_CLAIMRESULT_H

#include "idempotency/Claim.h"
#include "idempotency/RecordedAnswer.h"

#include <cstdint>

namespace rr {

/// What to do with a request that carries an Idempotency-Key.
struct ClaimResult {
  enum class Kind : std::uint8_t {
    /// Run the request, then pass Held to recordAnswer() or release().
    Run,
    /// Return the recorded Answer; the request has already run.
    Replay,
    /// 409 `unknown`: another attempt holds the key and no answer is recorded.
    Unknown,
    /// 422 `not_run`: the key was used for another request.
    OtherRequest,
    /// 503 `not_run`: the claim could not be written to the store.
    StoreUnavailable,
  };

  Kind Action = Kind::StoreUnavailable;
  Claim Held;
  RecordedAnswer Answer;
};

} // namespace rr

#endif // REDWINGRACK_IDEMPOTENCY_CLAIMRESULT_H
