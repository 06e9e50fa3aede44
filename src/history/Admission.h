#ifndef REDWINGRACK_HISTORY_ADMISSION_H
#define REDWINGRACK_HISTORY_ADMISSION_H

#include "base/Clock.h"

namespace rr::history {

/// A request that was admitted at an unknown moment between two that an
/// observer saw. A window holds it for certain only if it holds both.
struct Admission {
  Clock::time_point Earliest;
  Clock::time_point Latest;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_ADMISSION_H
