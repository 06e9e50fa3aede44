#ifndef REDWINGRACK_STEERING_MOVERULE_H
#define REDWINGRACK_STEERING_MOVERULE_H

#include "steering/MoveReport.h"
#include "steering/VersionMove.h"
#include "steering/VersionOrder.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rr {

/// Input to advanceMove().
struct MoveEvidence {
  /// The comparison has proven the target worse than the baseline.
  bool TargetBad = false;
  /// The target performs worse so far, but not yet with statistical
  /// significance.
  bool TargetSuspect = false;
  /// Requests that the target has answered at all instances.
  std::uint64_t TargetRequests = 0;
  /// Target servers that are not cold.
  int ReadyServers = 0;
  /// Reports of all live instances; empty for those that sent none.
  std::vector<std::optional<MoveReport>> Reports;
  /// Now, on the store's clock.
  Clock::duration StoreTime{0};
};

/// Returns the initial state of a move. \p Before is the state of the service's
/// previous move, if any.
VersionMove beginMove(const VersionOrder &Order,
                      const std::optional<VersionMove> &Before,
                      const std::set<std::string> &Present,
                      Clock::duration StoreTime);

/// Returns the next state of a running move; empty when nothing changes.
std::optional<VersionMove> advanceMove(const VersionMove &Move,
                                       const MoveEvidence &Evidence);

} // namespace rr

#endif // REDWINGRACK_STEERING_MOVERULE_H
