#ifndef REDWINGRACK_HISTORY_CHECKS_H
#define REDWINGRACK_HISTORY_CHECKS_H

#include "history/Timeline.h"
#include "history/Violation.h"

#include <vector>

namespace rr::history {

/// P1: at every moment, the requests that a shift moved are at most its cap
/// times the requests that it applies to. Every such request that a server of
/// the target region runs counts as moved, whatever the reason.
std::vector<Violation> checkShiftCap(const Timeline &Recorded);

/// P2: no server begins a request while its region already runs as many as it
/// has capacity for.
std::vector<Violation> checkRegionLoad(const Timeline &Recorded);

/// P3: except on open routes, a request runs only for the workspace whose key
/// came with it.
std::vector<Violation> checkOwnWorkspace(const Timeline &Recorded);

/// P4: no backend server sees the text of a key.
std::vector<Violation> checkKeyHidden(const Timeline &Recorded);

/// P5: from 5 s after its withdrawal was accepted, no request with the key
/// begins to run, and none sent from then on is answered.
std::vector<Violation> checkKeyWithdrawal(const Timeline &Recorded);

/// P6: in every window of time, a workspace gets at most rate x time + burst.
std::vector<Violation> checkWorkspaceRate(const Timeline &Recorded);

/// P7: at every moment, a version has at most the cap of its stage, and it gets
/// nothing from 5 s after its faults show or it was taken back.
std::vector<Violation> checkVersionShare(const Timeline &Recorded);

/// P8: every answer is whole and belongs to the request.
std::vector<Violation> checkWholeAnswer(const Timeline &Recorded);

/// P9: a request refused with `not_run` did not run and never does.
std::vector<Violation> checkNotRun(const Timeline &Recorded);

/// P10: a non-idempotent request runs at most once. Requests of a workspace
/// with the same idempotency key are one.
std::vector<Violation> checkAtMostOnce(const Timeline &Recorded);

/// P11: a draining server begins nothing from 5 s after the drain was asked.
std::vector<Violation> checkDrain(const Timeline &Recorded);

/// P12: an instance in a planned stop cuts no request that was sent to it
/// before its process ended.
std::vector<Violation> checkPlannedStop(const Timeline &Recorded);

/// P13: an instance never goes back to a lower version, never has one that was
/// not accepted, and does not serve with an older one more than 7 s after a
/// newer one was accepted.
std::vector<Violation> checkConfiguration(const Timeline &Recorded);

/// All checks; violations in order of time.
std::vector<Violation> checkHistory(const History &Recorded);

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_CHECKS_H
