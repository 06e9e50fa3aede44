#ifndef REDWINGRACK_TABLES_TABLEWATCH_H
#define REDWINGRACK_TABLES_TABLEWATCH_H

#include "base/Clock.h"
#include "base/Random.h"
#include "base/Timer.h"
#include "tables/StoreAvailability.h"
#include "tables/TableStore.h"

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <string>

namespace rr {

/// Follows one table: reads it in full once, then reads its changes. Reads it
/// in full again if the store no longer has the change history, or has come
/// back from an older copy.
class TableWatch {
public:
  struct Options {
    std::string Table;
    /// Maximum time that a read of changes waits at the store.
    Clock::duration Wait{};
    /// Minimum time between the starts of two reads.
    Clock::duration Period{};
  };
  /// Reads by what became of them, since the start.
  struct ReadCounts {
    std::uint64_t Changes = 0;
    std::uint64_t Snapshots = 0;
    /// Whole reads that were older than the known rows, or of an older era.
    std::uint64_t IgnoredSnapshots = 0;
    /// Reads of changes that found the history lost.
    std::uint64_t LostHistories = 0;
  };
  struct Handlers {
    /// All rows of the table.
    std::function<void(const TableRows &Rows)> Snapshot;
    std::function<void(const TableRows &Rows)> Changes;
    /// TableWatch::currentUntil() may have advanced.
    std::function<void(Clock::time_point CurrentUntil)> Confirmed;
    /// The store answers again after failed calls.
    std::function<void()> Recovered = {};
  };

  TableWatch(asio::io_context &Context, const TableStore &Store,
             Options Settings, Handlers Callbacks);

  /// Runs until stop().
  asio::awaitable<void> run();
  /// Reads the changes immediately, concurrently with run(). Returns true if
  /// the store answered; false at once while another refresh() runs.
  asio::awaitable<bool> refresh();
  bool isRefreshing() const { return this->Refreshing; }
  void stop() { this->Stopped = true; }
  /// Time on the clock of bootTime() up to which all changes have been applied.
  Clock::time_point currentUntil() const { return this->CurrentUntil; }
  /// Changes the polling intervals; a shorter \p Period takes effect
  /// immediately.
  void setIntervals(Clock::duration Wait, Clock::duration Period);
  /// Whether the most recent call failed.
  bool isFailing() const { return this->Availability.isFailing(); }
  bool isRecovering() const {
    return this->Availability.isRecovering(Clock::now());
  }
  const StoreAvailability &availability() const { return this->Availability; }
  const std::string &table() const { return this->Settings.Table; }
  const ReadCounts &readCounts() const { return this->Counts; }
  /// Store version of the rows that are known.
  StoreVersion version() const { return this->Version; }
  /// Ends the delay after a failed call, so that the next attempt starts now.
  void retryNow();

private:
  asio::awaitable<bool> pollOnce();
  asio::awaitable<bool> readNow();
  void recordLostHistory();
  /// Applies rows that were read since \p Start, see completeAsOf(). Returns
  /// whether they, or newer ones, are known now.
  bool applyAndConfirm(const TableRows &Read, bool Full,
                       Clock::time_point Start, Clock::duration Wait);
  /// False if the rows are older than the known ones, and were ignored.
  bool apply(const TableRows &Read, bool Full);
  void logReadAgain(StoreVersion Asked, const TableRows &Read,
                    bool Applied) const;
  void confirm(Clock::time_point AsOf);
  asio::awaitable<void> pauseFor(Clock::duration Time);
  void recordSuccess();
  /// Random number between 0 and 1.
  double jitter();

  const TableStore &Store;
  Options Settings;
  Handlers Callbacks;
  StoreAvailability Availability;
  RandomEngine Random;
  /// Delay between two calls; cancelling it starts the next call.
  Timer Pause;
  StoreVersion Version;
  Clock::time_point CurrentUntil{};
  bool Loaded = false;
  /// Reads that found the history lost, each shortly after the one before.
  int LostInARow = 0;
  /// Time of the last of them, on the clock of bootTime().
  Clock::time_point LostAt{};
  /// When rows were last applied, on the clock of bootTime().
  Clock::time_point AppliedAt{};
  ReadCounts Counts;
  /// The last rows were relayed by another instance.
  bool Relayed = false;
  bool Refreshing = false;
  bool Stopped = false;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_TABLEWATCH_H
