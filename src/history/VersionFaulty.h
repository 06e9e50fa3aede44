#ifndef REDWINGRACK_HISTORY_VERSIONFAULTY_H
#define REDWINGRACK_HISTORY_VERSIONFAULTY_H

#include "base/Clock.h"

#include <string>

namespace rr::history {

/// The faults of a version show: its failures reach the evidence threshold.
struct VersionFaulty {
  Clock::time_point At;
  std::string Service;
  std::string Version;
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_VERSIONFAULTY_H
