#ifndef REDWINGRACK_STEERING_LOADSAMPLE_H
#define REDWINGRACK_STEERING_LOADSAMPLE_H

namespace rr {

/// A backend server's own count of its requests.
struct LoadSample {
  int Running = 0;
  int Waiting = 0;
  int Slots = 0;
};

} // namespace rr

#endif // REDWINGRACK_STEERING_LOADSAMPLE_H
