#ifndef REDWINGRACK_STEERING_RESTOREDMOVE_H
#define REDWINGRACK_STEERING_RESTOREDMOVE_H

#include "steering/VersionMove.h"

namespace rr {

/// State of a service's move after the store came back from an older copy.
/// \p Known was known before; \p Row is in the copy, or was written since by an
/// instance that may not know \p Known. Returns \p Row if it continues what is
/// known, otherwise what must hold instead of it:
/// - a move that ended stays as it ended;
/// - of two states of a running move, and of two moves, the later one holds;
/// - versions that were rejected stay rejected in later moves.
VersionMove mergeRestoredMove(const VersionMove &Known, const VersionMove &Row);

/// Whether the rows of both are the same.
bool isSameMove(const VersionMove &Left, const VersionMove &Right);

} // namespace rr

#endif // REDWINGRACK_STEERING_RESTOREDMOVE_H
