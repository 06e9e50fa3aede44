#ifndef REDWINGRACK_STEERING_LOADSAMPLE_H
#define REDWINGRACK_STEERING_LOADSAMPLE_H

#include <optional>

namespace rr {

/// Request counts as reported by a backend server.
struct LoadSample {
  int Running = 0;
  int Waiting = 0;
  int Slots = 0;
  /// How long work takes on the machine at this moment; 1 is usual. Empty if
  /// the server does not report it.
  std::optional<double> WorkFactor = std::nullopt;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_LOADSAMPLE_H
