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

/// What the decision on the next step of a move is based on.
struct MoveEvidence {
  /// The target is known to be bad.
  bool TargetBad = false;
  /// The target does worse so far, which may be chance.
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

/// State in which a move begins. \p Before is the state of the service's last
/// move, if there was one.
VersionMove beginMove(const VersionOrder &Order,
                      const std::optional<VersionMove> &Before,
                      const std::set<std::string> &Present,
                      Clock::duration StoreTime);

/// The next state of a running move; empty when it stays as it is.
std::optional<VersionMove> advanceMove(const VersionMove &Move,
                                       const MoveEvidence &Evidence);

} // namespace rr

#endif // REDWINGRACK_STEERING_MOVERULE_H
