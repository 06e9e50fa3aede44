#ifndef REDWINGRACK_HISTORY_PROMISE_H
#define REDWINGRACK_HISTORY_PROMISE_H

namespace rr::history {

/// Promises of the design page, by their number there.
enum class Promise {
  ShiftCap = 1,
  RegionLoad = 2,
  OwnWorkspace = 3,
  KeyHidden = 4,
  KeyWithdrawal = 5,
  WorkspaceRate = 6,
  VersionShare = 7,
  WholeAnswer = 8,
  NotRunIsTrue = 9,
  AtMostOnce = 10,
  Drain = 11,
  PlannedStop = 12,
  Configuration = 13,
};

} // namespace rr::history

#endif // REDWINGRACK_HISTORY_PROMISE_H
