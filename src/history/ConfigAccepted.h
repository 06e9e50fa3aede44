#ifndef REDWINGRACK_HISTORY_CONFIGACCEPTED_H
#define REDWINGRACK_HISTORY_CONFIGACCEPTED_H

#include "base/Clock.h"

#include <cstdint>

namespace rr::history {

/// The system accepted a configuration.
struct ConfigAccepted {
  Clock::time_point At;
  std::uint64_t Version = 0;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_CONFIGACCEPTED_H
