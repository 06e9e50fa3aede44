#include "steering/RestoredMove.h"

namespace rr {

namespace {

using Phase = VersionMove::Phase;

/// Of two moves to the same version.
const VersionMove &furtherOf(const VersionMove &Known, const VersionMove &Row) {
  // The old servers may have been stopped after a completion, so that a later
  // rollback does not replace it either.
  if (Known.State != Phase::Running)
    return Known;
  if (Row.State != Phase::Running)
    return Row;
  return Row.StageStartedAt < Known.StageStartedAt ? Known : Row;
}

/// Adds the versions that may have been bad by the end of \p Before.
void addRejected(VersionMove &Move, const VersionMove &Before) {
  Move.Rejected.insert(Before.Rejected.begin(), Before.Rejected.end());
  if (Before.State == Phase::RolledBack)
    Move.Rejected.insert(Before.Target);
  Move.Rejected.erase(Move.Target);
  for (const std::string &Version : Move.Rejected)
    Move.Baseline.erase(Version);
}

} // namespace

VersionMove mergeRestoredMove(const VersionMove &Known,
                              const VersionMove &Row) {
  if (Known.Target == Row.Target)
    return furtherOf(Known, Row);
  if (Row.StartedAt < Known.StartedAt)
    return Known;
  VersionMove Next = Row;
  addRejected(Next, Known);
  return Next;
}

bool isSameMove(const VersionMove &Left, const VersionMove &Right) {
  return encodeVersionMove(Left) == encodeVersionMove(Right);
}

} // namespace rr
