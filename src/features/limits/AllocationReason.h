#ifndef REDWINGRACK_LIMITS_ALLOCATIONREASON_H
#define REDWINGRACK_LIMITS_ALLOCATIONREASON_H

namespace rr {

/// Why a new share epoch is needed.
enum class AllocationReason {
  NoAllocation,
  /// The configuration changed a rate or burst, or the list of workspaces.
  WorkspaceChanged,
  /// A holder ended, left or is silent.
  HolderGone,
  /// A member has to be listed before it can receive shares.
  HolderAdded,
  /// Lost messages took shares out of circulation.
  SharesLost,
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_ALLOCATIONREASON_H
