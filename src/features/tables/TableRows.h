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
};

} // namespace rr

#endif // REDWINGRACK_TABLES_TABLEROWS_H
