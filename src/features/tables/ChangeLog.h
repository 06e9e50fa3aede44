#ifndef REDWINGRACK_TABLES_CHANGELOG_H
#define REDWINGRACK_TABLES_CHANGELOG_H

#include "base/Outcome.h"
#include "tables/TableRows.h"

#include <map>
#include <string>
#include <utility>

namespace rr {

/// The rows of one table that changed or were removed lately, in their newest
/// state, so that they can be told to other instances.
class ChangeLog {
public:
  /// Takes a read of the changes after \p After.
  void append(std::uint64_t After, const TableRows &Read,
              Clock::time_point Now);
  /// Forgets all; the table was read in another way.
  void clear();

  /// Rows that changed after \p Version. Errc::Stale when some of them are not
  /// in the log, Errc::Unavailable when it is empty.
  Outcome<TableRows> changesAfter(std::uint64_t After) const;

  /// Changes are kept for this long: longer than between two reads of an
  /// instance that reads seldom.
  static constexpr Clock::duration RetentionPeriod = std::chrono::seconds(20);

private:
  void expire(Clock::time_point Now);

  /// By key; with the time of the read.
  std::map<std::string, std::pair<TableRow, Clock::time_point>> Rows;
  bool Started = false;
  /// The log is complete after this version.
  std::uint64_t CompleteAfter = 0;
  std::uint64_t Version = 0;
  Clock::duration StoreTime{0};
};

} // namespace rr

#endif // REDWINGRACK_TABLES_CHANGELOG_H
