#ifndef REDWINGRACK_TABLES_CHANGELOG_H
#define REDWINGRACK_TABLES_CHANGELOG_H

#include "base/Outcome.h"
#include "tables/TableRows.h"

#include <map>
#include <string>
#include <utility>

namespace rr {

/// Latest state of the rows of one table that recently changed or were removed,
/// for relaying them to other instances. All are of one era of the store.
class ChangeLog {
public:
  /// Adds the result \p Read of a read of the changes after version \p After.
  void append(StoreVersion After, const TableRows &Read, Clock::time_point Now);
  /// Starts over after a read of the whole table: later changes follow it.
  void restart(const TableRows &Read);
  /// Removes all rows. Called when the table is read through another instance,
  /// so that the log would miss changes.
  void clear();

  /// Rows that changed after the version with the number \p After in the era of
  /// the result. Errc::Stale if the log no longer has all of them,
  /// Errc::Unavailable if nothing has been appended yet.
  Outcome<TableRows> changesAfter(std::uint64_t After) const;

  /// Time for which changes are kept; longer than the polling interval of a
  /// standby instance.
  static constexpr Clock::duration RetentionPeriod = std::chrono::seconds(20);

private:
  void expire(Clock::time_point Now);

  /// Row and time of its read, by key.
  std::map<std::string, std::pair<TableRow, Clock::time_point>> Rows;
  bool Started = false;
  /// The log is complete after this version.
  StoreVersion CompleteAfter;
  StoreVersion Version;
  Clock::duration StoreTime{0};
};

} // namespace rr

#endif // REDWINGRACK_TABLES_CHANGELOG_H
