#ifndef REDWINGRACK_TABLES_TABLEROWS_H
#define REDWINGRACK_TABLES_TABLEROWS_H

#include "base/Clock.h"
#include "tables/TableRow.h"

#include <cstdint>
#include <vector>

namespace rr {

/// Rows as of one moment.
struct TableRows {
  std::vector<TableRow> Rows;
  /// Newest version of the store at that moment.
  std::uint64_t Version = 0;
  /// The store's clock.
  Clock::duration StoreTime{0};
  /// Another instance passed them on, at the pace of its own reads.
  bool Relayed = false;
  /// Of relayed rows: all changes up to this time on bootTime() are among
  /// them.
  Clock::time_point AsOf{};
};

/// Up to when the rows of a read of changes are complete, on bootTime(): the
/// read began at \p Start and offered to wait. One that waited in vain shows
/// that nothing had changed by its end.
Clock::time_point completeAsOf(const TableRows &Rows, Clock::time_point Start,
                               Clock::duration Wait);

} // namespace rr

#endif // REDWINGRACK_TABLES_TABLEROWS_H
