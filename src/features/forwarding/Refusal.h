#ifndef REDWINGRACK_FORWARDING_REFUSAL_H
#define REDWINGRACK_FORWARDING_REFUSAL_H

#include "forwarding/Execution.h"

#include <chrono>
#include <string>

namespace rr {

struct HttpResponse;

/// Error returned to the caller when no backend server answered the request.
struct Refusal {
  int Status = 503;
  Execution Outcome = Execution::NotRun;
  /// Stable code, listed in docs/callers.md.
  std::string Reason;
  /// Human-readable; never contains a key.
  std::string Detail;
  /// Value of the Retry-After field; zero omits the field.
  std::chrono::seconds RetryAfter{0};
};

/// Formats the refusal as application/problem+json (RFC 9457).
HttpResponse refusalResponse(const Refusal &Error);

} // namespace rr

#endif // REDWINGRACK_FORWARDING_REFUSAL_H
