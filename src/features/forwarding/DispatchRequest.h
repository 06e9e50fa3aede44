#ifndef REDWINGRACK_FORWARDING_DISPATCHREQUEST_H
#define REDWINGRACK_FORWARDING_DISPATCHREQUEST_H

#include "base/Cancellation.h"
#include "base/Clock.h"
#include "base/HttpHeader.h"
#include "telemetry/TraceContext.h"

#include <functional>
#include <string>
#include <vector>

namespace rr {

/// A request that was admitted and is free of the caller's key.
struct DispatchRequest {
  std::string Service;
  std::string Route;
  /// Empty on open routes.
  std::string Workspace;
  std::string Method;
  /// Path and query.
  std::string Target;
  HttpHeaders Headers;
  std::string Body;
  Clock::time_point Deadline;
  TraceContext Trace;
  /// Servers that earlier attempts have used.
  std::vector<std::string> TriedServers;
  /// Identifies the request for the crash guard.
  std::string Fingerprint;
  /// The request may run a second time.
  bool MayRetry = false;
  /// Asked again when the request leaves a queue: false when its key was
  /// withdrawn meanwhile or cannot be confirmed. Empty when there is none.
  std::function<bool()> IsStillAuthorized;
  CancellationPtr Cancel;
};

} // namespace rr

#endif // REDWINGRACK_FORWARDING_DISPATCHREQUEST_H
