#ifndef REDWINGRACK_PLANS_VERSIONREPORT_H
#define REDWINGRACK_PLANS_VERSIONREPORT_H

#include "rollout/VersionStats.h"

#include <string>

namespace rr {

/// Version statistics of one instance, as its heartbeat carries them.
struct VersionReport {
  std::string Instance;
  VersionStats Stats;
};

} // namespace rr

#endif // REDWINGRACK_PLANS_VERSIONREPORT_H
