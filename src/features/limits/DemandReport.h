#ifndef REDWINGRACK_LIMITS_DEMANDREPORT_H
#define REDWINGRACK_LIMITS_DEMANDREPORT_H

#include "limits/ShareHolder.h"
#include "limits/WorkspaceDemand.h"

#include <vector>

namespace rr {

/// Heartbeat part from which relays balance shares.
struct DemandReport {
  ShareHolder Holder;
  std::string Zone;
  std::string Region;
  std::uint64_t Epoch = 0;
  std::vector<WorkspaceDemand> Workspaces;

  bool operator==(const DemandReport &) const = default;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_DEMANDREPORT_H
