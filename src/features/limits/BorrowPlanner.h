#ifndef REDWINGRACK_LIMITS_BORROWPLANNER_H
#define REDWINGRACK_LIMITS_BORROWPLANNER_H

#include "base/Clock.h"
#include "limits/BorrowRequest.h"
#include "limits/DemandReport.h"

#include <map>
#include <vector>

namespace rr {

/// Selects the lenders for borrow requests, based on reports of other holders
/// that are younger than FreshnessLimit.
class BorrowPlanner {
public:
  BorrowPlanner(ShareHolder Self, std::string Region);

  /// Replaces the stored state of the reporting holder.
  void update(const DemandReport &Report, Clock::time_point Now);
  void removeHolder(const ShareHolder &Holder);

  /// Plans borrow requests to the holders with the most tokens that together
  /// cover \p Wanted; a holder of the same region that covers it alone comes
  /// first. Returns an empty list if all holders together are estimated to have
  /// less than \p MinTokens, so that an exhausted workspace causes no messages.
  /// Requested tokens are deducted from the estimate until the next report.
  /// With \p SinglePrimary, a holder's whole rate counts towards the estimate,
  /// because its reported demand and its lent capacity are too imprecise at a
  /// few requests per second.
  std::vector<BorrowRequest> plan(const std::string &Workspace,
                                  std::uint64_t Epoch, MicroRequests Wanted,
                                  MicroRequests MinTokens,
                                  MicroRequests Gathered, bool SinglePrimary,
                                  Clock::time_point Now);

  /// Maximum number of lenders per plan.
  static constexpr std::size_t MaxLenders = 4;

private:
  struct HolderState {
    ShareAmount Held;
    /// Rate that exceeds the holder's own demand.
    MicroRequests SpareRate = 0;
    std::uint64_t Epoch = 0;
    bool SameRegion = false;
    Clock::time_point EstimatedAt;
    Clock::time_point ReportedAt;
  };

  static MicroRequests estimatedTokens(const HolderState &Entry,
                                       bool SinglePrimary,
                                       Clock::time_point Now);

  ShareHolder Self;
  std::string Region;
  std::map<std::string, std::map<ShareHolder, HolderState>> Workspaces;
};

} // namespace rr

#endif // REDWINGRACK_LIMITS_BORROWPLANNER_H
