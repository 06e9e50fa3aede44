#ifndef REDWINGRACK_GATEWAY_SUSPECTROW_H
#define REDWINGRACK_GATEWAY_SUSPECTROW_H

#include "base/Outcome.h"
#include "quarantine/CrashObservation.h"
#include "tables/TableRow.h"
#include "tables/TableWrite.h"

#include <string>

namespace rr {

/// Whether a row of the product's own table holds a crash observation.
bool isSuspectKey(const std::string &Key);

/// Row of \p Table that tells the other instances of an observation.
TableWrite makeSuspectRow(const std::string &Table,
                          const CrashObservation &Observation);
/// Removal of that row if it still has \p Version.
TableWrite removeSuspectRow(const std::string &Table,
                            const CrashObservation &Observation,
                            StoreVersion Version);
/// Reads a row; only the fingerprint and the server run of a deleted one.
/// Errc::Malformed unless it was written by makeSuspectRow().
Outcome<CrashObservation> decodeSuspectRow(const TableRow &Row);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_SUSPECTROW_H
