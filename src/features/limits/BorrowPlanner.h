#ifndef REDWINGRACK_LIMITS_BORROWPLANNER_H
#define REDWINGRACK_LIMITS_BORROWPLANNER_H

#include "base/Clock.h"
#include "limits/BorrowRequest.h"
#include "limits/DemandReport.h"

#include <map>
#include <vector>

namespace rr {

/// Chooses whom to ask for tokens, from the reports of the other holders that
/// are not older than FreshnessLimit.
class BorrowPlanner {
public:
  BorrowPlanner(ShareHolder Self, std::string Region);

  /// Replaces what is known of the reporting holder.
  void update(const DemandReport &Report, Clock::time_point Now);
  void removeHolder(const ShareHolder &Holder);

  /// Requests to those with the most tokens that together cover \p Wanted,
  /// holders of the same region first; empty when the holders are
  /// not expected to have \p MinTokens altogether, so that a workspace that is
  /// used up costs no messages. What is asked for is not counted on again
  /// before the next report. With \p SinglePrimary all that a holder's rate
  /// gives is expected to be there: what it says of its own demand and of
  /// capacity that is lent at the moment is too rough for a few requests a
  /// second.
  std::vector<BorrowRequest> plan(const std::string &Workspace,
                                  std::uint64_t Epoch, MicroRequests Wanted,
                                  MicroRequests MinTokens,
                                  MicroRequests Gathered, bool SinglePrimary,
                                  Clock::time_point Now);

  /// Most lenders that are asked at once.
  static constexpr std::size_t MaxLenders = 4;

private:
  struct HolderState {
    ShareAmount Held;
    /// Rate that the holder does not use itself.
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
