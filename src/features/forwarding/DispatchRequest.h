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

/// An admitted request, with the caller's API key removed.
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
  /// Names of the servers that earlier attempts were sent to.
  std::vector<std::string> TriedServers;
  /// Identifies the request for the crash guard.
  std::string Fingerprint;
  /// Whether the request may be executed more than once.
  bool MayRetry = false;
  /// Checked again when the request leaves a queue. Returns false if the key
  /// has been withdrawn since or cannot be confirmed. Empty when there is
  /// nothing to check.
  std::function<bool()> IsStillAuthorized;
  CancellationPtr Cancel;
};

} // namespace rr

#endif // REDWINGRACK_FORWARDING_DISPATCHREQUEST_H
