#ifndef REDWINGRACK_TABLES_TABLEROW_H
#define REDWINGRACK_TABLES_TABLEROW_H

#include <cstdint>
#include <string>

namespace rr {

/// A row of a platform table.
struct TableRow {
  std::string Key;
  std::string Value;
  /// Raised by the store with each change.
  std::uint64_t Version = 0;
  /// The row is gone; Value is empty.
  bool Deleted = false;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_TABLEROW_H
