#ifndef REDWINGRACK_LIMITS_SHAREALLOCATION_H
#define REDWINGRACK_LIMITS_SHAREALLOCATION_H

#include "base/Outcome.h"
#include "limits/WorkspaceAllocation.h"

#include <set>

namespace rr {

/// Contents of the row `shares/<epoch>`.
struct ShareAllocation {
  std::uint64_t Epoch = 0;
  /// Number of changes of the row that only listed more holders.
  std::uint64_t Revision = 0;
  /// Fencing token of the lease under which the row was written.
  std::uint64_t Fence = 0;
  /// All instances that may hold shares in this epoch, including those without
  /// an initial share. Only they can receive grants, so the set of
  /// acknowledgements that the next epoch needs is complete.
  std::set<ShareHolder> Holders;
  std::map<std::string, WorkspaceAllocation> Workspaces;

  bool operator==(const ShareAllocation &) const = default;
};

/// Returns Malformed when the epoch is zero, a share belongs to an unlisted
/// holder, or the shares of a workspace exceed its allowance.
Outcome<void> checkAllocation(const ShareAllocation &Allocation);

/// The share of \p Holder; zero if it has none.
ShareAmount shareOf(const ShareAllocation &Allocation,
                    const std::string &Workspace, const ShareHolder &Holder);

} // namespace rr

#endif // REDWINGRACK_LIMITS_SHAREALLOCATION_H
