#ifndef REDWINGRACK_LIMITS_ALLOCATIONREASON_H
#define REDWINGRACK_LIMITS_ALLOCATIONREASON_H

namespace rr {

/// Reason for writing a new share epoch.
enum class AllocationReason {
  NoAllocation,
  /// The configuration changed a rate or burst, or the set of workspaces.
  WorkspaceChanged,
  /// A holder ended, left or is silent.
  HolderGone,
  /// A new member must be listed before it can receive shares. A new revision
  /// of the row suffices.
  HolderAdded,
  /// Shares were lost with messages that never arrived.
  SharesLost,
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_ALLOCATIONREASON_H
