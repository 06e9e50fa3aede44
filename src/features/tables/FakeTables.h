#ifndef REDWINGRACK_TABLES_FAKETABLES_H
#define REDWINGRACK_TABLES_FAKETABLES_H

#include "tables/TableStore.h"

#include <map>
#include <set>
#include <string>

namespace rr {

/// In-memory tables with switches for their faults. Outlives the functions
/// that tables() returns.
class FakeTables {
public:
  TableStore tables();

  /// Writes or removes a row as another program would.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void erase(const std::string &Table, const std::string &Key);
  const std::string *find(const std::string &Table,
                          const std::string &Key) const;
  /// Forgets which rows have changed.
  void dropHistory() { this->OldestHistory = this->Version; }

  /// Every call fails without effect.
  bool Down = false;
  /// Reads of these tables fail.
  std::set<std::string> DownTables;
  /// Writes fail without effect, reads do not.
  bool RefuseWrites = false;
  int Calls = 0;
  /// Longest time that the last call for changes offered to wait.
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
  readChanges(std::string Table, std::uint64_t After, Clock::duration Wait);
  Outcome<std::uint64_t> commit(const std::vector<TableWrite> &Writes);

  std::map<std::string, std::map<std::string, Entry>> Tables;
  std::uint64_t Version = 0;
  std::uint64_t OldestHistory = 0;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_FAKETABLES_H
