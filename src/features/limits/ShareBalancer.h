#ifndef REDWINGRACK_LIMITS_SHAREBALANCER_H
#define REDWINGRACK_LIMITS_SHAREBALANCER_H

#include "limits/DemandReport.h"
#include "limits/ShareAllocation.h"
#include "limits/ShareRelease.h"

#include <string>
#include <vector>

namespace rr {

/// The moves that a relay of \p OwnZone asks for, computed from the latest
/// report of every member of the fleet. Reports older than FreshnessLimit are
/// left out by the caller; those of an epoch other than \p Allocation are
/// ignored here.
///
/// Surplus goes to members of the same zone first, then of the same region,
/// then anywhere. A relay asks only givers of its own zone. Relays with
/// different views may ask for different moves; each giver keeps its wanted
/// share, so a repeated request moves nothing twice.
std::vector<ShareRelease> planReleases(const std::vector<DemandReport> &Reports,
                                       const std::string &OwnZone,
                                       const ShareAllocation &Allocation);

} // namespace rr

#endif // REDWINGRACK_LIMITS_SHAREBALANCER_H
