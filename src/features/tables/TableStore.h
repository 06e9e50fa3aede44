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

/// Access to the platform's tables as functions. Each function makes one
/// attempt. Errc::Unavailable means that the call had no effect, Errc::Unknown
/// that no answer arrived and a write may have taken effect.
struct TableStore {
  /// All rows of a table.
  std::function<asio::awaitable<Outcome<TableRows>>(std::string Table)>
      ReadTable;
  /// All changes after the version \p After; the store waits up to \p Wait for
  /// the first one. Errc::Stale if the store no longer has all of them, or has
  /// come back from an older copy since.
  std::function<asio::awaitable<Outcome<TableRows>>(
      std::string Table, StoreVersion After, Clock::duration Wait)>
      ReadChanges;
  /// Writes all rows or none, and returns the new store version.
  /// Errc::Conflict if a row does not have the expected version. Errc::Unknown
  /// if the store has come back from an older copy: a condition may then have
  /// held for a row of the same number that is another one.
  std::function<asio::awaitable<Outcome<StoreVersion>>(
      std::vector<TableWrite> Writes)>
      Commit;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_TABLESTORE_H
