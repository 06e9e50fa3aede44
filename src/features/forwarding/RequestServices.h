#ifndef REDWINGRACK_FORWARDING_REQUESTSERVICES_H
#define REDWINGRACK_FORWARDING_REQUESTSERVICES_H

#include "base/Outcome.h"
#include "forwarding/DispatchRequest.h"
#include "forwarding/DispatchResult.h"
#include "forwarding/KeyDecision.h"

#include <asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

namespace rr {

class ClaimStore;
struct FleetConfig;

/// Functions of other features that the request pipeline calls.
struct RequestServices {
  std::function<std::shared_ptr<const FleetConfig>()> Config;
  std::function<KeyDecision(const std::string &Key)> Authenticate;
  /// Whether \p Text is a key that was ever issued, including withdrawn keys.
  std::function<bool(const std::string &Text)> IsIssuedKey;
  /// Takes one token from the workspace's rate limit. Fails with
  /// Errc::LimitReached when the rate limit is exceeded and with Errc::Stale
  /// when this instance may not admit requests.
  std::function<asio::awaitable<Outcome<void>>(std::string Workspace,
                                               Clock::time_point Deadline)>
      Admit;
  /// Sends the request once to a backend server that the routing feature
  /// selects.
  std::function<asio::awaitable<DispatchResult>(DispatchRequest Request)>
      Dispatch;
  /// Whether the fingerprint is suspected of crashing servers.
  std::function<bool(const std::string &Fingerprint)> IsSuspect;
  /// Called once the workspace or service of a request is known, before the
  /// first attempt.
  std::function<void(const DispatchRequest &Request)> OnAdmitted;
  /// Claims of requests with an Idempotency-Key; must outlive the pipeline.
  ClaimStore *Claims = nullptr;
};

} // namespace rr

#endif // REDWINGRACK_FORWARDING_REQUESTSERVICES_H
