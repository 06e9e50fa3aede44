#ifndef REDWINGRACK_HISTORY_VERSIONTAKENBACK_H
#define REDWINGRACK_HISTORY_VERSIONTAKENBACK_H

#include "base/Clock.h"

#include <string>

namespace rr::history {

/// The system reported that it took a version back.
struct VersionTakenBack {
  Clock::time_point At;
  std::string Service;
  std::string Version;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_VERSIONTAKENBACK_H
