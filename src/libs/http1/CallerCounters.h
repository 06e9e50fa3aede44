#ifndef REDWINGRACK_HTTP1_CALLERCOUNTERS_H
#define REDWINGRACK_HTTP1_CALLERCOUNTERS_H

#include <cstdint>

namespace rr {

/// What an HttpServer did for lack of room, since its start.
struct CallerCounters {
  /// Connections that were answered with 503.
  std::uint64_t Refused = 0;
  /// Connections to be refused whose caller sent no request.
  std::uint64_t Unanswered = 0;
  /// Connections that were closed at once, without an answer.
  std::uint64_t Dropped = 0;
  /// Idle connections that were closed to make room.
  std::uint64_t ClosedIdle = 0;
};

} // namespace rr

#endif // REDWINGRACK_HTTP1_CALLERCOUNTERS_H
