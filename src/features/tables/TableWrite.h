#ifndef REDWINGRACK_TABLES_TABLEWRITE_H
#define REDWINGRACK_TABLES_TABLEWRITE_H

#include "tables/StoreVersion.h"

#include <optional>
#include <string>

namespace rr {

/// Write or removal of one row, optionally conditional on its version.
struct TableWrite {
  std::string Table;
  std::string Key;
  std::string Value;
  /// Version that the row must have; NoRow if it must not exist, empty for an
  /// unconditional write.
  std::optional<StoreVersion> ExpectedVersion;
  /// Removes the row; Value is not used.
  bool Remove = false;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_TABLEWRITE_H
