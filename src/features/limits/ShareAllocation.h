#ifndef REDWINGRACK_LIMITS_SHAREALLOCATION_H
#define REDWINGRACK_LIMITS_SHAREALLOCATION_H

#include "base/Outcome.h"
#include "limits/WorkspaceAllocation.h"

#include <set>

namespace rr {

/// Contents of the row `shares/<epoch>`.
struct ShareAllocation {
  std::uint64_t Epoch = 0;
  /// Fencing number of the lease under which the row was written.
  std::uint64_t Fence = 0;
  /// Everyone who may hold shares in this epoch, also those who start without.
  /// Only they can receive grants, so the acknowledgements of the next epoch
  /// are known to be complete.
  std::set<ShareHolder> Holders;
  std::map<std::string, WorkspaceAllocation> Workspaces;

  bool operator==(const ShareAllocation &) const = default;
};

/// Malformed when the epoch is zero, a share belongs to nobody listed, or the
/// shares of a workspace exceed its allowance.
Outcome<void> checkAllocation(const ShareAllocation &Allocation);

/// The share of \p Holder; zero when there is none.
ShareAmount shareOf(const ShareAllocation &Allocation,
                    const std::string &Workspace, const ShareHolder &Holder);

} // namespace rr

#endif // REDWINGRACK_LIMITS_SHAREALLOCATION_H
