#ifndef REDWINGRACK_TABLES_FAKETABLES_H
#define REDWINGRACK_TABLES_FAKETABLES_H

#include "tables/TableStore.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace rr {

/// In-memory table store with fault injection. Must outlive the functions that
/// tables() returns.
class FakeTables {
public:
  TableStore tables();

  /// Write or remove a row unconditionally, as another program would.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void erase(const std::string &Table, const std::string &Key);
  const std::string *find(const std::string &Table,
                          const std::string &Key) const;
  /// Drops the change history: reads of changes after an older version return
  /// Errc::Stale.
  void dropHistory() { this->OldestHistory = this->Version.Number; }

  /// All rows at one time.
  struct Copy;
  std::shared_ptr<const Copy> copy() const;
  /// Comes back with the rows of \p From: what was written since is gone, and
  /// versions are given out again from there.
  void restore(const Copy &From);

  /// All calls fail without effect.
  bool Down = false;
  /// Tables whose reads fail.
  std::set<std::string> DownTables;
  /// Reads of changes of these tables that may wait get no answer; those with a
  /// wait time of zero do. As with an instance that relays tables and is cut
  /// off.
  std::set<std::string> StalledTables;
  /// Writes fail without effect; reads succeed.
  bool RefuseWrites = false;
  /// Conditions of writes compare only numbers, as for a writer that has not
  /// heard of a new era.
  bool IgnoreEraOfWrites = false;
  /// Time that each read takes.
  Clock::duration ReadTime{0};
  int Calls = 0;
  /// Reads of changes that failed because the store or the table was down.
  int FailedReads = 0;
  /// Maximum wait time that the last read of changes asked for.
  Clock::duration LastWait{0};

private:
  struct Entry {
    std::string Value;
    std::uint64_t Version = 0;
    bool Deleted = false;
  };
  TableRows rowsAfter(const std::string &Table, std::uint64_t After,
                      bool WithDeleted) const;
  asio::awaitable<Outcome<TableRows>>
  readChanges(std::string Table, StoreVersion After, Clock::duration Wait);
  Outcome<StoreVersion> commit(const std::vector<TableWrite> &Writes);

  std::map<std::string, std::map<std::string, Entry>> Tables;
  StoreVersion Version;
  std::uint64_t OldestHistory = 0;
};

struct FakeTables::Copy {
  std::map<std::string, std::map<std::string, Entry>> Tables;
  /// Number of the newest version.
  std::uint64_t Version = 0;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_FAKETABLES_H
