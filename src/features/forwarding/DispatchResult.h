#ifndef REDWINGRACK_FORWARDING_DISPATCHRESULT_H
#define REDWINGRACK_FORWARDING_DISPATCHRESULT_H

#include "base/HttpHeader.h"
#include "forwarding/Execution.h"

#include <chrono>
#include <string>

namespace rr {

/// Result of one attempt to send a request to a backend server.
struct DispatchResult {
  /// Whether a complete response was received. If not, Outcome tells whether
  /// the request may have been executed.
  bool Answered = false;
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;

  Execution Outcome = Execution::NotRun;
  /// Stable error code of a refusal.
  std::string Reason;
  std::chrono::seconds RetryAfter{0};
  /// Empty when no server was selected.
  std::string Server;
  std::string Version;
  /// The connection was closed before a complete response, for example because
  /// the server crashed.
  bool ConnectionEnded = false;
};

} // namespace rr

#endif // REDWINGRACK_FORWARDING_DISPATCHRESULT_H
