#ifndef REDWINGRACK_STEERING_ROUTEKIND_H
#define REDWINGRACK_STEERING_ROUTEKIND_H

namespace rr {

/// Whether the requests of a route may be repeated.
enum class RouteKind {
  /// May run more than once.
  Safe,
  /// Safe, with large answers.
  Download,
  /// Runs at most once for each request id.
  Unsafe,
};

inline bool isRepeatable(RouteKind Kind) { return Kind != RouteKind::Unsafe; }

} // namespace rr

#endif // REDWINGRACK_STEERING_ROUTEKIND_H
