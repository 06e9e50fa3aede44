#ifndef REDWINGRACK_LIMITS_SHAREBALANCER_H
#define REDWINGRACK_LIMITS_SHAREBALANCER_H

#include "limits/DemandReport.h"
#include "limits/ShareAllocation.h"
#include "limits/ShareRelease.h"

#include <string>
#include <vector>

namespace rr {

/// Plans the releases that a relay of \p OwnZone requests, from the latest
/// report of every member of the fleet. The caller omits reports older than
/// FreshnessLimit; reports of another epoch than that of \p Allocation are
/// ignored.
///
/// Surplus goes to members of the same zone first, then of the same region,
/// then to any other. A relay sends requests only to givers of its own zone.
/// Relays with different views may request different moves. Each giver keeps
/// its target share, so repeated requests don't move the same surplus twice.
std::vector<ShareRelease> planReleases(const std::vector<DemandReport> &Reports,
                                       const std::string &OwnZone,
                                       const ShareAllocation &Allocation);

} // namespace rr

#endif // REDWINGRACK_LIMITS_SHAREBALANCER_H
