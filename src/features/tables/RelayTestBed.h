#ifndef REDWINGRACK_TABLES_RELAYTESTBED_H
#define REDWINGRACK_TABLES_RELAYTESTBED_H

#include "links/PeerLinks.h"
#include "tables/FakeTables.h"
#include "tables/TableRelay.h"
#include "tables/TableWatch.h"

#include "testing/TestLoop.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <thread>

namespace rr {

/// One instance that follows the table "t".
struct RelayReader {
  RelayReader(TestLoop &Loop, const std::string &Name, TableStore Direct,
              TableRelay::SnapshotSource Source = {})
      : Direct(std::move(Direct)),
        Links(Loop.context(), {Name, "z", "127.0.0.1:0"}),
        Relay(this->Links, this->Direct,
              [this](const std::string &) { return this->Peer; }),
        Store(this->Relay.tables()),
        Watch(Loop.context(), this->Store,
              {"t", std::chrono::seconds(1), std::chrono::seconds(1)},
              {[this](const TableRows &Rows) { this->apply(Rows); },
               [this](const TableRows &Rows) { this->apply(Rows); },
               [this](Clock::time_point AsOf) {
                 this->Confirmed = std::max(this->Confirmed, AsOf);
               }}) {
    this->Relay.setSnapshotSource(std::move(Source));
    this->Links.start("secret");
    Loop.spawn(
        [this]() -> asio::awaitable<void> { co_await this->Watch.run(); });
  }

  void apply(const TableRows &Rows) {
    for (const TableRow &Row : Rows.Rows)
      if (Row.Deleted)
        this->Seen.erase(Row.Key);
      else
        this->Seen[Row.Key] = Row.Value;
  }

  TableStore Direct;
  std::optional<RelayPeer> Peer;
  PeerLinks Links;
  TableRelay Relay;
  TableStore Store;
  TableWatch Watch;
  std::map<std::string, std::string> Seen;
  /// On the clock of bootTime().
  Clock::time_point Confirmed{};
};

/// A first instance that reads the store, and a second one that reads through
/// the first.
struct RelayTestBed {
  RelayTestBed() {
    this->Second.Peer = RelayPeer{
        "first", "127.0.0.1:" + std::to_string(this->First.Links.port())};
    this->advance(std::chrono::seconds(3));
  }
  ~RelayTestBed() {
    this->First.Watch.stop();
    this->Second.Watch.stop();
    this->First.Links.stop();
    this->Second.Links.stop();
    this->advance(std::chrono::seconds(5));
  }

  /// Advances the paused clock in steps and gives the kernel time to deliver
  /// data between them.
  void advance(Clock::duration Time) {
    for (Clock::duration Passed{0}; Passed < Time;
         Passed += std::chrono::milliseconds(50)) {
      Clock::advance(std::chrono::milliseconds(50));
      for (int Round = 0; Round < 3; ++Round) {
        this->Loop.run();
        std::this_thread::sleep_for(std::chrono::microseconds(200));
      }
      this->Loop.run();
    }
  }

  TestLoop Loop;
  FakeTables Tables;
  /// Number of reads of changes by the second instance at the store.
  int SecondReads = 0;
  RelayReader First{this->Loop, "first", this->Tables.tables()};
  RelayReader Second{this->Loop, "second", this->countingStore()};

  TableStore countingStore() {
    TableStore Result = this->Tables.tables();
    Result.ReadChanges =
        [this, Read = Result.ReadChanges](std::string Table, StoreVersion After,
                                          Clock::duration Wait) {
          ++this->SecondReads;
          return Read(std::move(Table), After, Wait);
        };
    return Result;
  }
};

} // namespace rr

#endif // REDWINGRACK_TABLES_RELAYTESTBED_H
