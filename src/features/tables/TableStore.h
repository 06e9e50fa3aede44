#ifndef REDWINGRACK_TABLES_TABLESTORE_H
#define REDWINGRACK_TABLES_TABLESTORE_H

#include "base/Outcome.h"
#include "tables/TableRows.h"
#include "tables/TableWrite.h"

#include <asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

namespace rr {

/// The platform's tables as functions. Each makes one attempt and returns
/// Errc::Unavailable when it certainly had no effect, and Errc::Unknown when a
/// write may have taken effect without an answer.
struct TableStore {
  /// All rows of a table.
  std::function<asio::awaitable<Outcome<TableRows>>(std::string Table)>
      ReadTable;
  /// Changes after a version, at the latest after \p Wait. Errc::Stale when
  /// the store no longer has them all.
  std::function<asio::awaitable<Outcome<TableRows>>(
      std::string Table, std::uint64_t After, Clock::duration Wait)>
      ReadChanges;
  /// Writes all rows or none, and returns the new version. Errc::Conflict
  /// when a row has another version than expected.
  std::function<asio::awaitable<Outcome<std::uint64_t>>(
      std::vector<TableWrite> Writes)>
      Commit;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_TABLESTORE_H
