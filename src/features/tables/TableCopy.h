#ifndef REDWINGRACK_TABLES_TABLECOPY_H
#define REDWINGRACK_TABLES_TABLECOPY_H

#include "base/Outcome.h"
#include "tables/TableRows.h"

#include <map>
#include <string>

namespace rr {

/// The rows of one table as last read, with the removed ones, so that the
/// changes after an earlier version can be told to another instance.
class TableCopy {
public:
  /// Takes a read of the whole table. Rows that it lacks were removed.
  void applyFull(const TableRows &Rows);
  void applyChanges(const TableRows &Rows);

  /// Rows that changed after \p Version. Errc::Unavailable before the first
  /// full read, Errc::Stale when some removed rows are no longer known.
  Outcome<TableRows> changesAfter(std::uint64_t Version) const;

  /// Removed rows that are remembered.
  static constexpr std::size_t MostRemoved = 1000;

private:
  void apply(const TableRow &Row);
  void forgetRemoved();

  std::map<std::string, TableRow> Rows;
  /// Keys of removed rows by the version of their removal.
  std::multimap<std::uint64_t, std::string> Removed;
  std::uint64_t Version = 0;
  /// Changes after this version are complete.
  std::uint64_t OldestVersion = 0;
  Clock::duration StoreTime{0};
  bool Loaded = false;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_TABLECOPY_H
