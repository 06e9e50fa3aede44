#ifndef REDWINGRACK_LIMITS_SHAREALLOCATOR_H
#define REDWINGRACK_LIMITS_SHAREALLOCATOR_H

#include "base/Clock.h"
#include "limits/AllocationMember.h"
#include "limits/AllocationReason.h"
#include "limits/ShareAllocation.h"

#include <optional>
#include <vector>

namespace rr {

/// Decides, at the lease holder, when a new share epoch is written. Writes
/// nothing itself: the caller creates the row `shares/<epoch>` and rewrites
/// `control/head` in one transaction that is conditional on the head's version
/// and checks the lease's fence. Of two allocators one wins; the other one's
/// transaction fails and it observes the winner's epoch.
class ShareAllocator {
public:
  /// Notes the epoch that is now in force. An epoch stays untouched until its
  /// barrier, counted from the first time it was observed here.
  void observe(const ShareAllocation &Current, Clock::time_point Now);
  /// Notes that the barrier of \p Epoch was reached early.
  void confirmBarrier(std::uint64_t Epoch, Clock::time_point Now);

  /// Why a new epoch, or for HolderAdded a new revision, is due; none when it
  /// is not, or not yet.
  std::optional<AllocationReason>
  dueReason(const std::map<std::string, ShareAmount> &Allowances,
            const std::vector<AllocationMember> &Members,
            Clock::time_point Now);

  /// Time for which shares must be missing before they count as lost.
  static constexpr std::chrono::seconds LossDelay{5};
  /// Time for which silent holders are collected into one epoch. Those of one
  /// partition fall silent within a heartbeat; without this time a second epoch
  /// followed one barrier later.
  static constexpr std::chrono::seconds SilenceDelay{1};
  /// Field of an allowance that must be missing. Shares that are on their way
  /// while reports are made stay below it.
  static constexpr double LossFraction = 0.02;

private:
  bool hasLostShares(const std::vector<AllocationMember> &Members,
                     Clock::time_point Now);
  bool hasDepartedHolder(const std::vector<AllocationMember> &Members,
                         Clock::time_point Now);

  std::optional<ShareAllocation> Current;
  Clock::time_point BarrierAt;
  /// Since when shares of a workspace are missing.
  std::map<std::string, Clock::time_point> LossSince;
  /// Since when a holder that may hold shares is silent.
  std::optional<Clock::time_point> SilentSince;
  /// Holders that may hold shares: they had some in the row, or were heard of
  /// since it was observed.
  std::set<ShareHolder> ActiveHolders;
};

/// The epoch after \p Previous (null for the first one): members keep what
/// they report, what is free is divided by demand, and members beyond a
/// lowered allowance are cut in proportion.
ShareAllocation
makeAllocation(const ShareAllocation *Previous, std::uint64_t Fence,
               const std::map<std::string, ShareAmount> &Allowances,
               const std::vector<AllocationMember> &Members);

/// \p Current with more holders, who have no shares yet. It takes effect at
/// once: listing somebody raises nobody.
ShareAllocation addHolders(const ShareAllocation &Current, std::uint64_t Fence,
                           const std::vector<AllocationMember> &Members);

/// True when every holder of \p Previous adopted \p Epoch or its process is
/// known to have ended. A silent holder is not known to have ended.
bool decreasesAcknowledged(const ShareAllocation &Previous, std::uint64_t Epoch,
                           const std::map<ShareHolder, std::uint64_t> &Adopted,
                           const std::set<ShareHolder> &Ended);

} // namespace rr

#endif // REDWINGRACK_LIMITS_SHAREALLOCATOR_H
