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

/// Follows one table: reads it in full, then its changes, and again in full
/// when the store has dropped its history.
class TableWatch {
public:
  struct Options {
    std::string Table;
    /// Longest time that a call for changes waits at the store.
    Clock::duration Wait{};
    /// Least time between two calls.
    Clock::duration Period{};
  };
  struct Handlers {
    /// All rows of the table.
    std::function<void(const TableRows &Rows)> Snapshot;
    std::function<void(const TableRows &Rows)> Changes;
    /// Everything up to \p AsOf on bootTime() has been applied.
    std::function<void(Clock::time_point AsOf)> Confirmed;
    /// The store answers again after calls that failed.
    std::function<void()> Recovered = {};
  };

  TableWatch(asio::io_context &Context, const TableStore &Store,
             Options Settings, Handlers Callbacks);

  /// Runs until stop().
  asio::awaitable<void> run();
  /// Reads the changes at once, beside run(). True when the store answered.
  asio::awaitable<bool> refresh();
  void stop() { this->Stopped = true; }
  /// Start of the last call that the store answered.
  Clock::time_point readStart() const { return this->ReadStart; }
  /// Changes the pace; a shorter one takes effect at once.
  void setIntervals(Clock::duration Wait, Clock::duration Period);
  /// The last call was not answered.
  bool isFailing() const { return this->Availability.isFailing(); }
  bool isRecovering() const {
    return this->Availability.isRecovering(Clock::now());
  }
  const StoreAvailability &availability() const { return this->Availability; }
  /// Ends a pause after a failed call.
  void retryNow();

private:
  asio::awaitable<bool> pollOnce();
  void apply(const TableRows &Read, bool Full);
  asio::awaitable<void> pauseFor(Clock::duration Time);
  void recordSuccess();

  const TableStore &Store;
  Options Settings;
  Handlers Callbacks;
  StoreAvailability Availability;
  RandomEngine Random;
  /// Ends the pause between two calls.
  Timer Pause;
  std::uint64_t Version = 0;
  Clock::time_point ReadStart{};
  bool Loaded = false;
  /// The last rows came from another instance, when its own read ended.
  bool Relayed = false;
  bool Stopped = false;
};

} // namespace rr

#endif // REDWINGRACK_TABLES_TABLEWATCH_H
