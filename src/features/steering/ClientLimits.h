#ifndef REDWINGRACK_STEERING_CLIENTLIMITS_H
#define REDWINGRACK_STEERING_CLIENTLIMITS_H

#include "base/Clock.h"

#include <cstddef>

namespace rr {

/// Limits on the size and duration of client requests.
struct ClientLimits {
  std::size_t MaxHeaderBytes = 16U << 10;
  std::size_t MaxBodyBytes = 64U << 20;
  Clock::duration HeaderTimeout = std::chrono::seconds(3);
  Clock::duration IdleTimeout = std::chrono::seconds(15);
};

} // namespace rr

#endif // REDWINGRACK_STEERING_CLIENTLIMITS_H
