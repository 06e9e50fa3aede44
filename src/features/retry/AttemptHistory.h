#ifndef REDWINGRACK_RETRY_ATTEMPTHISTORY_H
#define REDWINGRACK_RETRY_ATTEMPTHISTORY_H

#include "base/Clock.h"

namespace rr {

/// State of a request whose last attempt failed.
struct AttemptHistory {
  /// Result of isIdempotentMethod() for the request's method.
  bool IdempotentMethod = false;
  /// The request has an Idempotency-Key, so it must run at most once regardless
  /// of the method.
  bool HasIdempotencyKey = false;
  /// A byte of some attempt may have reached a server, and no owner instance
  /// has confirmed that the attempt was not dispatched.
  bool MayHaveBeenSent = false;
  /// Attempts made so far.
  int Attempts = 1;
  Clock::time_point Deadline;
  /// The request is suspected of crashing servers, or an attempt ended with
  /// evidence of a crash.
  bool Suspect = false;
};

} // namespace rr

#endif // REDWINGRACK_RETRY_ATTEMPTHISTORY_H
