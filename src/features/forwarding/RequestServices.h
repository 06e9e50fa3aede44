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

/// What the request path needs of the other features.
struct RequestServices {
  std::function<std::shared_ptr<const FleetConfig>()> Config;
  std::function<KeyDecision(const std::string &Key)> Authenticate;
  /// Whether a text is a key that was ever issued, withdrawn ones included.
  std::function<bool(const std::string &Text)> IsIssuedKey;
  /// Takes one token of the workspace. Errc::LimitReached when its rate is
  /// used up, Errc::Stale when this instance may not admit.
  std::function<asio::awaitable<Outcome<void>>(std::string Workspace,
                                               Clock::time_point Deadline)>
      Admit;
  /// One attempt at one backend server, chosen by the routing feature.
  std::function<asio::awaitable<DispatchResult>(DispatchRequest Request)>
      Dispatch;
  /// Whether the fingerprint is suspected of crashing servers.
  std::function<bool(const std::string &Fingerprint)> IsSuspect;
  /// Called when the workspace or service of a request is known, before the
  /// first attempt.
  std::function<void(const DispatchRequest &Request)> OnAdmitted;
  /// Claims of requests with an Idempotency-Key; must outlive the pipeline.
  ClaimStore *Claims = nullptr;
};

} // namespace rr

#endif // REDWINGRACK_FORWARDING_REQUESTSERVICES_H
