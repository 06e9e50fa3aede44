#ifndef REDWINGRACK_TABLES_TABLEWRITE_H
#define REDWINGRACK_TABLES_TABLEWRITE_H

#include <cstdint>
#include <optional>
#include <string>

namespace rr {

/// A row to be written.
struct TableWrite {
  std::string Table;
  std::string Key;
  std::string Value;
  /// Version that the row must have; 0 when it must not exist; empty when any
  /// will do.
  std::optional<std::uint64_t> ExpectedVersion;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_TABLEWRITE_H
