#ifndef REDWINGRACK_TABLES_TABLEROWS_H
#define REDWINGRACK_TABLES_TABLEROWS_H

#include "base/Clock.h"
#include "tables/TableRow.h"

#include <vector>

namespace rr {

/// Rows of a table at one point in time.
struct TableRows {
  std::vector<TableRow> Rows;
  /// Newest version of the store at that time.
  StoreVersion Version;
  /// Time of the store's own clock.
  Clock::duration StoreTime{0};
  /// Received from another instance, which relays rows when its own reads end.
  bool Relayed = false;
  /// For relayed rows: all changes up to this time are included, on the clock
  /// of bootTime().
  Clock::time_point AsOf{};
};

/// Time on the clock of bootTime() up to which a read of changes is known to be
/// complete. The read started at \p Start and let the store wait up to \p Wait
/// for changes. An empty result after the full wait proves that nothing changed
/// until \p Start + \p Wait; otherwise only the start is proven.
Clock::time_point completeAsOf(const TableRows &Rows, Clock::time_point Start,
                               Clock::duration Wait);

} // namespace rr

#endif // REDWINGRACK_TABLES_TABLEROWS_H
