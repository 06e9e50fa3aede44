#ifndef REDWINGRACK_TABLES_TABLEROW_H
#define REDWINGRACK_TABLES_TABLEROW_H

#include "tables/StoreVersion.h"

#include <string>

namespace rr {

/// A row of a table in the platform store.
struct TableRow {
  std::string Key;
  std::string Value;
  /// Store version of the last change to the row.
  StoreVersion Version;
  /// The row was removed; Value is empty.
  bool Deleted = false;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_TABLEROW_H
