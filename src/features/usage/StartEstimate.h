#ifndef REDWINGRACK_USAGE_STARTESTIMATE_H
#define REDWINGRACK_USAGE_STARTESTIMATE_H

#include "base/Clock.h"

#include <algorithm>
#include <optional>

namespace rr {

/// Times of one attempt that was sent to a server.
struct SentAttempt {
  Clock::time_point SentAt{};
  Clock::time_point EndedAt{};
  Clock::duration RoundTrip{0};
  /// Expected wait for a slot of the server.
  Clock::duration Wait{0};
  /// The server answered that request.
  bool Answered = false;
};

/// When the server probably began to run the request; empty if the attempt
/// ended before without an answer.
inline std::optional<Clock::time_point>
estimatedStart(const SentAttempt &Attempt) {
  const Clock::time_point Start =
      Attempt.SentAt + Attempt.RoundTrip / 2 + Attempt.Wait;
  if (Attempt.Answered)
    return std::min(Start, Attempt.EndedAt);
  return Start <= Attempt.EndedAt ? std::optional(Start) : std::nullopt;
}

} // namespace rr

#endif // REDWINGRACK_USAGE_STARTESTIMATE_H
