#ifndef REDWINGRACK_STEERING_CLIENTLIMITS_H
#define REDWINGRACK_STEERING_CLIENTLIMITS_H

#include "base/Clock.h"

#include <cstddef>

namespace rr {

/// Bounds on what a client may send and how long it may take.
struct ClientLimits {
  std::size_t MaxHeaderBytes = 16U << 10;
  std::size_t MaxBodyBytes = 64U << 20;
  Clock::duration HeaderTimeout = std::chrono::seconds(3);
  Clock::duration IdleTimeout = std::chrono::seconds(15);
};

} // namespace rr

#endif // REDWINGRACK_STEERING_CLIENTLIMITS_H
