#ifndef REDWINGRACK_IDEMPOTENCY_CLAIMSTORE_H
#define REDWINGRACK_IDEMPOTENCY_CLAIMSTORE_H

#include "idempotency/ClaimResult.h"
#include "platform/Platform.h"

#include <asio/awaitable.hpp>
#include <cstddef>
#include <deque>
#include <string>

namespace rr {

/// Claims of requests with an Idempotency-Key, as rows of the platform's
/// table. A row is never erased here: the version of an erased and recreated
/// row could start again, and a repeated write would then hit the claim of
/// another attempt.
class ClaimStore {
public:
  explicit ClaimStore(Platform Store);

  /// Digest of the request that a key stands for.
  static std::string requestDigest(const std::string &Method,
                                   const std::string &Target,
                                   const std::string &Body);

  /// Claims the key before anything of the request is sent.
  asio::awaitable<ClaimResult>
  claim(std::string Workspace, std::string IdempotencyKey, std::string Digest);

  /// Records the answer of a request that ran. Errc::TooLarge when it is
  /// above the bounds; repeats then get `unknown`, as after any failure.
  asio::awaitable<Outcome<void>> recordAnswer(Claim HeldClaim,
                                              RecordedAnswer Answer);

  /// Gives a claim back. Only when it is certain that no byte of the request
  /// was sent. A release that fails is kept for retryReleases().
  asio::awaitable<Outcome<void>> release(Claim HeldClaim);

  /// Repeats the releases that failed, for a call every few seconds. Returns
  /// how many are left.
  asio::awaitable<std::size_t> retryReleases();

private:
  asio::awaitable<Outcome<void>> tryRelease(const Claim &HeldClaim);
  void queueRelease(const Claim &HeldClaim);

  Platform Store;
  std::deque<Claim> PendingReleases;
};

} // namespace rr

#endif // REDWINGRACK_IDEMPOTENCY_CLAIMSTORE_H
