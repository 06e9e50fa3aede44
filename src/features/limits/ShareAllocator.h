#ifndef REDWINGRACK_LIMITS_SHAREALLOCATOR_H
#define REDWINGRACK_LIMITS_SHAREALLOCATOR_H

#include "base/Clock.h"
#include "limits/AllocationMember.h"
#include "limits/AllocationReason.h"
#include "limits/ShareAllocation.h"

#include <optional>
#include <vector>

namespace rr {

/// Decides, at the lease holder, when a new share epoch is due. It does not
/// write the epoch: the caller creates the row `shares/<epoch>` and rewrites
/// `control/head` in one transaction that is conditional on the head's version
/// and on the lease's fencing token. If two allocators compete, one transaction
/// fails and its allocator observes the other one's epoch.
class ShareAllocator {
public:
  /// Records the epoch in force. An epoch is not replaced before its barrier,
  /// which is counted from its first observation here.
  void observe(const ShareAllocation &Current, Clock::time_point Now);
  /// Records that the barrier of \p Epoch was reached early.
  void confirmBarrier(std::uint64_t Epoch, Clock::time_point Now);

  /// Returns why a new epoch (for HolderAdded: a new revision) is due, or
  /// nothing if none is due yet.
  std::optional<AllocationReason>
  dueReason(const std::map<std::string, ShareAmount> &Allowances,
            const std::vector<AllocationMember> &Members,
            Clock::time_point Now);

  /// Time for which shares must be missing before they count as lost.
  static constexpr std::chrono::seconds LossDelay{5};
  /// Time for which silent holders are collected into one epoch. The holders of
  /// a partition fall silent within one heartbeat interval of each other;
  /// without this delay a second epoch would follow one barrier later.
  static constexpr std::chrono::seconds SilenceDelay{1};
  /// Fraction of an allowance that must be missing. Shares in transit at the
  /// time of the reports stay below it.
  static constexpr double LossFraction = 0.02;

private:
  bool hasLostShares(const std::vector<AllocationMember> &Members,
                     Clock::time_point Now);
  bool hasDepartedHolder(const std::vector<AllocationMember> &Members,
                         Clock::time_point Now);

  std::optional<ShareAllocation> Current;
  Clock::time_point BarrierAt;
  /// Workspace -> time since which a part of its shares has been missing.
  std::map<std::string, Clock::time_point> LossSince;
  /// Time since which a holder that may hold shares has been silent.
  std::optional<Clock::time_point> SilentSince;
  /// Holders that may hold shares: they have shares in the row, or reported
  /// after it was observed.
  std::set<ShareHolder> ActiveHolders;
};

/// Creates the epoch after \p Previous (null for the first one). Members keep
/// the shares they report, unassigned shares are divided by demand, and if an
/// allowance was lowered, shares are reduced in proportion.
ShareAllocation
makeAllocation(const ShareAllocation *Previous, std::uint64_t Fence,
               const std::map<std::string, ShareAmount> &Allowances,
               const std::vector<AllocationMember> &Members);

/// Returns \p Current with additional holders, who have no shares yet. It needs
/// no barrier, because no share increases.
ShareAllocation addHolders(const ShareAllocation &Current, std::uint64_t Fence,
                           const std::vector<AllocationMember> &Members);

/// True when every holder of \p Previous has adopted \p Epoch or its process is
/// known to have ended. Silence of a holder does not mean that it has ended.
bool decreasesAcknowledged(const ShareAllocation &Previous, std::uint64_t Epoch,
                           const std::map<ShareHolder, std::uint64_t> &Adopted,
                           const std::set<ShareHolder> &Ended);

} // namespace rr

#endif // REDWINGRACK_LIMITS_SHAREALLOCATOR_H
