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

/// A caller's request that was let in.
struct GatewayRequest {
  /// Keeps Route and Workspace alive.
  std::shared_ptr<const SteeringConfig> Config;
  const SteeringRoute *Route = nullptr;
  /// Null on routes that need no key.
  const SteeringWorkspace *Workspace = nullptr;
  /// As it goes to the server, but for the fields that differ by attempt.
  HttpMessage Message;
  std::string Id;
  std::optional<std::uint64_t> Object;
  int Priority = 0;
  /// The caller was refused before.
  bool PreviouslyRefused = false;
  std::set<std::string> AllowedRegions;
  Clock::time_point Arrived{};
  /// The caller has its final answer by then.
  Clock::time_point Deadline{};
  CancellationPtr Cancel;
};

} // namespace rr

#endif // REDWINGRACK_GATEWAY_GATEWAYREQUEST_H
