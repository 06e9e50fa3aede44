#ifndef REDWINGRACK_IDEMPOTENCY_CLAIMSTORE_H
#define REDWINGRACK_IDEMPOTENCY_CLAIMSTORE_H

#include "idempotency/ClaimResult.h"
#include "platform/Platform.h"

#include <asio/awaitable.hpp>
#include <cstddef>
#include <deque>
#include <string>

namespace rr {

/// Stores claims of requests with an Idempotency-Key as rows of the platform's
/// table. Rows are never erased here: versions of a recreated row could start
/// again, and a retried write could then overwrite the claim of another
/// attempt.
class ClaimStore {
public:
  explicit ClaimStore(Platform Store);

  /// Returns the SHA-256 digest, in hexadecimal, that tells whether a key is
  /// reused for a different request.
  static std::string requestDigest(const std::string &Method,
                                   const std::string &Target,
                                   const std::string &Body);

  /// Claims the key. Must complete before any byte of the request is sent.
  /// Store errors are reported as StoreUnavailable or Unknown.
  asio::awaitable<ClaimResult>
  claim(std::string Workspace, std::string IdempotencyKey, std::string Digest);

  /// Records the answer of a request that ran. Returns Errc::TooLarge if the
  /// answer exceeds the limits of RecordedAnswer. After any error, repeats of
  /// the request get `unknown`.
  asio::awaitable<Outcome<void>> recordAnswer(Claim HeldClaim,
                                              RecordedAnswer Answer);

  /// Releases a claim, so that another attempt can run the request. Call it
  /// only if no byte of the request was sent. A failed release is queued for
  /// retryReleases().
  asio::awaitable<Outcome<void>> release(Claim HeldClaim);

  /// Retries the queued releases. Meant to be called every few seconds.
  /// Returns the number of releases that are still queued.
  asio::awaitable<std::size_t> retryReleases();

private:
  asio::awaitable<Outcome<void>> tryRelease(const Claim &HeldClaim);
  void queueRelease(const Claim &HeldClaim);

  Platform Store;
  std::deque<Claim> PendingReleases;
};

} // namespace rr

#endif // REDWINGRACK_IDEMPOTENCY_CLAIMSTORE_H
