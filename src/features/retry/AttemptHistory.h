#ifndef REDWINGRACK_RETRY_ATTEMPTHISTORY_H
#define REDWINGRACK_RETRY_ATTEMPTHISTORY_H

#include "base/Clock.h"

namespace rr {

/// What is known of a request whose last attempt failed.
struct AttemptHistory {
  /// isIdempotentMethod() of its method.
  bool IdempotentMethod = false;
  /// It carries an Idempotency-Key, so its caller asks for one run at most,
  /// whatever the method.
  bool HasIdempotencyKey = false;
  /// A byte of any attempt may have reached a server, and no server owner
  /// vouches that the attempt was not dispatched.
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
