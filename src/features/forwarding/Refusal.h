#ifndef REDWINGRACK_FORWARDING_REFUSAL_H
#define REDWINGRACK_FORWARDING_REFUSAL_H

#include "forwarding/Execution.h"

#include <chrono>
#include <string>

namespace rr {

struct HttpResponse;

/// Why a request gets no answer from a backend server.
struct Refusal {
  int Status = 503;
  Execution Outcome = Execution::NotRun;
  /// Stable code, listed in docs/callers.md.
  std::string Reason;
  /// For people; never holds a key.
  std::string Detail;
  /// Zero where waiting does not help.
  std::chrono::seconds RetryAfter{0};
};

/// The refusal as application/problem+json (RFC 9457).
HttpResponse refusalResponse(const Refusal &Error);

} // namespace rr

#endif // REDWINGRACK_FORWARDING_REFUSAL_H
