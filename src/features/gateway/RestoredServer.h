#ifndef REDWINGRACK_GATEWAY_RESTOREDSERVER_H
#define REDWINGRACK_GATEWAY_RESTOREDSERVER_H

#include "gateway/RemovedServer.h"
#include "steering/BackendRecord.h"
#include "tables/TableRow.h"

#include <string>

namespace rr {

/// How the row of a backend server in a restored copy relates to what is known
/// of the server.
enum class RestoredServer {
  /// Nothing newer is known.
  Current,
  /// The same run is known to drain.
  Drains,
  /// A later run is known.
  EarlierRun,
  /// The run is known to be gone.
  Gone,
};

/// \p Known is null if the server is not in use, and \p Removed if no recent
/// removal is known.
RestoredServer compareRestored(const TableRow &Row, const BackendRecord &Record,
                               const BackendRecord *Known,
                               const RemovedServer *Removed);

/// What is known, for logs.
std::string knownText(RestoredServer Relation);

} // namespace rr

#endif // REDWINGRACK_GATEWAY_RESTOREDSERVER_H
