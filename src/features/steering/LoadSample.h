#ifndef REDWINGRACK_STEERING_LOADSAMPLE_H
#define REDWINGRACK_STEERING_LOADSAMPLE_H

namespace rr {

/// Request counts as reported by a backend server.
struct LoadSample {
  int Running = 0;
  int Waiting = 0;
  int Slots = 0;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_LOADSAMPLE_H
