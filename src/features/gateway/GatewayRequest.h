#ifndef REDWINGRACK_GATEWAY_GATEWAYREQUEST_H
#define REDWINGRACK_GATEWAY_GATEWAYREQUEST_H

#include "base/Cancellation.h"
#include "base/Clock.h"
#include "http1/HttpMessage.h"
#include "steering/SteeringConfig.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace rr {

/// A caller's request that was admitted.
struct GatewayRequest {
  /// Keeps Route and Workspace alive.
  std::shared_ptr<const SteeringConfig> Config;
  const SteeringRoute *Route = nullptr;
  /// Null on routes that need no key.
  const SteeringWorkspace *Workspace = nullptr;
  /// The message to send to a server, without the headers that are set for each
  /// attempt.
  HttpMessage Message;
  std::string Id;
  /// See requestFingerprint().
  std::string Fingerprint;
  /// Hash of the requested object and the route, for cache affinity.
  std::optional<std::uint64_t> Object;
  int Priority = 0;
  /// The caller retries after an earlier refusal.
  bool PreviouslyRefused = false;
  /// Regions that may serve the request; empty allows all.
  std::set<std::string> AllowedRegions;
  Clock::time_point Arrived{};
  /// End of the route's timeout or of the time that the caller waits, whichever
  /// is first.
  Clock::time_point TimeLimit{};
  /// Time by which the caller must have the final answer: the time limit, or
  /// the end of a stop if that is earlier.
  Clock::time_point Deadline{};
  CancellationPtr Cancel;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_GATEWAYREQUEST_H
