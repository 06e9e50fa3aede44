#include "base/Timer.h"
#include "tables/FakeTables.h"
#include "tables/TableWatch.h"

#include "testing/TestLoop.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// A reader of a table whose store comes back from a copy after the row was
/// written and others used further versions.
struct RestoreBed {
  RestoreBed() {
    this->Loop.spawn(
        [this]() -> asio::awaitable<void> { co_await this->Watch.run(); });
    this->Tables.put("t", "row", "before the copy");
    this->Loop.advance(1s);
    this->BeforeLoss = this->Tables.copy();
    this->Tables.put("t", "row", "lost");
    this->writeOthers(40);
    this->Loop.advance(3s);
  }
  ~RestoreBed() {
    this->Watch.stop();
    this->Loop.advance(5s);
  }

  void restore() {
    this->Tables.Down = true;
    this->Loop.advance(500ms);
    this->Tables.restore(*this->BeforeLoss);
    this->Tables.Down = false;
  }
  /// Uses up versions for rows of another table.
  void writeOthers(int Count) {
    for (int Item = 0; Item < Count; ++Item)
      this->Tables.put("other", "row", std::to_string(Item));
  }
  /// The store cannot give changes any more. The reader asks without a period.
  void loseHistories() {
    this->Tables.ReadTime = 10ms;
    this->Store.ReadChanges =
        [this](std::string, StoreVersion,
               Clock::duration) -> asio::awaitable<Outcome<TableRows>> {
      ++this->Tables.Calls;
      co_await sleepFor(10ms);
      co_return failure(Errc::Stale);
    };
    this->Watch.setIntervals(0s, 0s);
  }
  void apply(const TableRows &Rows) {
    for (const TableRow &Row : Rows.Rows)
      this->Seen[Row.Key] = Row.Deleted ? "" : Row.Value;
  }

  TestLoop Loop;
  FakeTables Tables;
  TableStore Store = Tables.tables();
  std::shared_ptr<const FakeTables::Copy> BeforeLoss;
  std::map<std::string, std::string> Seen;
  TableWatch Watch{this->Loop.context(),
                   this->Store,
                   {"t", 2s, 500ms},
                   {[this](const TableRows &Rows) {
                      this->Seen.clear();
                      this->apply(Rows);
                    },
                    [this](const TableRows &Rows) { this->apply(Rows); },
                    {}}};
};

} // namespace

TEST_CASE("Rows that are written after the store came back from an older copy "
          "are read",
          "[restore]") {
  RestoreBed Bed;
  REQUIRE(Bed.Seen.at("row") == "lost");
  Bed.restore();
  Bed.Tables.put("t", "row", "new");
  Bed.Loop.advance(2s);
  CHECK(Bed.Seen.at("row") == "new");
}

TEST_CASE("A row is not missed when the store gives out again the version up "
          "to which the table was read",
          "[restore]") {
  RestoreBed Bed;
  Bed.restore();
  Bed.Tables.put("t", "row", "new");
  Bed.writeOthers(100);
  Bed.Loop.advance(5s);
  CHECK(Bed.Seen.at("row") == "new");
}

TEST_CASE("Rows that were not read are not taken for current after the store "
          "came back from an older copy",
          "[restore]") {
  RestoreBed Bed;
  Bed.restore();
  const Clock::time_point Returned = Clock::now();
  Bed.Tables.put("t", "row", "new");
  Bed.Loop.advance(5s);
  const bool Current = Bed.Watch.currentUntil() >= Returned;
  CHECK((!Current || Bed.Seen.at("row") == "new"));
}

TEST_CASE("A reader calls the store no more often after it came back from an "
          "older copy",
          "[restore]") {
  RestoreBed Bed;
  const int Before = Bed.Tables.Calls;
  Bed.Loop.advance(4s);
  const int Usual = Bed.Tables.Calls - Before;
  Bed.restore();
  Bed.Tables.put("t", "row", "new");
  // The retries and the whole read after the return.
  Bed.Loop.advance(1s);
  const int After = Bed.Tables.Calls;
  Bed.Loop.advance(4s);
  CHECK(Bed.Tables.Calls - After <= Usual + 1);
}

// Guards against a standby that refuses requests for the rest of its long
// polling period.
TEST_CASE("A refresh reads the whole table after the store came back from an "
          "older copy",
          "[restore]") {
  RestoreBed Bed;
  Bed.Watch.setIntervals(2s, 16s);
  Bed.Loop.advance(17s);
  Bed.restore();
  Bed.Tables.put("t", "row", "new");
  bool Known = false;
  Bed.Loop.spawn(
      [&]() -> asio::awaitable<void> { Known = co_await Bed.Watch.refresh(); });
  Bed.Loop.advance(100ms);
  CHECK(Known);
  CHECK(Bed.Seen.at("row") == "new");
}

TEST_CASE("A reader follows two restores in a row", "[restore]") {
  RestoreBed Bed;
  Bed.restore();
  Bed.Tables.put("t", "row", "between");
  Bed.Loop.advance(1500ms);
  Bed.restore();
  Bed.Tables.put("t", "row", "new");
  Bed.Loop.advance(2s);
  CHECK(Bed.Seen.at("row") == "new");
  CHECK(Bed.Watch.version().Era == 2);
}

// Guards against whole reads without a pause from a store that cannot give
// changes for another reason.
TEST_CASE("A reader whose history is lost again and again pauses between whole "
          "reads",
          "[restore]") {
  RestoreBed Bed;
  Bed.loseHistories();
  Bed.Loop.advance(2s);
  const int Before = Bed.Tables.Calls;
  Bed.Loop.advance(10s);
  // Two calls a round, and a pause of up to 0.75 s between two rounds.
  CHECK(Bed.Tables.Calls - Before <= 50);
  CHECK(Bed.Tables.Calls - Before >= 20);
}

// Guards against a reader with a long period that waits for whole reads because
// each of its histories was discarded in the meantime.
TEST_CASE("A history that is lost once in a period is read in full at once",
          "[restore]") {
  RestoreBed Bed;
  Bed.Watch.setIntervals(0s, 16s);
  Bed.Loop.advance(20s);
  for (int Round = 0; Round < 3; ++Round) {
    Bed.Tables.put("t", "row", std::to_string(Round));
    Bed.Tables.dropHistory();
    Bed.Loop.advance(16500ms);
    CHECK(Bed.Seen.at("row") == std::to_string(Round));
  }
}

// Guards against rows of an older era, which arrive late, that count as
// current.
TEST_CASE("A read of an older era changes and confirms nothing", "[restore]") {
  RestoreBed Bed;
  Bed.restore();
  Bed.Tables.put("t", "row", "new");
  Bed.Loop.advance(3s);
  REQUIRE(Bed.Seen.at("row") == "new");
  const auto Late = [](std::string, StoreVersion,
                       Clock::duration) -> asio::awaitable<Outcome<TableRows>> {
    TableRows Rows;
    Rows.Version = {0, 900};
    Rows.Rows = {{"row", "late", {0, 900}, false}};
    co_await sleepFor(10ms);
    co_return Rows;
  };
  Bed.Store.ReadChanges = Late;
  // The call that waits at the store ends.
  Bed.Loop.advance(2500ms);
  const Clock::time_point Known = Bed.Watch.currentUntil();
  Bed.Loop.advance(2500ms);
  CHECK(Bed.Seen.at("row") == "new");
  CHECK(Bed.Watch.currentUntil() == Known);
}

// Guards against a store that is asked without a pause because each request of
// a caller reads the table.
TEST_CASE("Refreshes of a table whose history is lost again and again do not "
          "end the pause between whole reads",
          "[restore]") {
  RestoreBed Bed;
  Bed.loseHistories();
  Bed.Loop.advance(2s);
  const int Before = Bed.Tables.Calls;
  for (int Step = 0; Step < 500; ++Step) {
    Bed.Loop.spawn(
        [&]() -> asio::awaitable<void> { co_await Bed.Watch.refresh(); });
    Bed.Loop.advance(20ms);
  }
  CHECK(Bed.Tables.Calls - Before <= 80);
}

// Guards against changes that are added to rows which they do not continue.
TEST_CASE("Changes of a later era are not applied to the rows of the one "
          "before",
          "[restore]") {
  RestoreBed Bed;
  Bed.Store.ReadChanges =
      [](std::string, StoreVersion,
         Clock::duration) -> asio::awaitable<Outcome<TableRows>> {
    TableRows Rows;
    Rows.Version = {1, 10};
    Rows.Rows = {{"row", "of the later era", {1, 10}, false}};
    co_await sleepFor(10ms);
    co_return Rows;
  };
  Bed.Loop.advance(5s);
  CHECK(Bed.Seen.at("row") == "lost");
  CHECK(Bed.Watch.version().Era == 0);
}

// Guards against old rows that count as current because a store whose history
// was lost answers from a copy that lags.
TEST_CASE("A whole read that is older than what was known confirms nothing",
          "[restore]") {
  RestoreBed Bed;
  const StoreVersion Known = Bed.Watch.version();
  Bed.loseHistories();
  Bed.Store.ReadTable =
      [Known](std::string) -> asio::awaitable<Outcome<TableRows>> {
    TableRows Rows;
    Rows.Version = {Known.Era, Known.Number - 5};
    co_await sleepFor(10ms);
    co_return Rows;
  };
  // The call that waits at the store ends.
  Bed.Loop.advance(3s);
  const Clock::time_point Until = Bed.Watch.currentUntil();
  Bed.Loop.advance(3s);
  CHECK(Bed.Watch.currentUntil() == Until);
  CHECK(Bed.Seen.at("row") == "lost");
  CHECK(Bed.Watch.readCounts().IgnoredSnapshots > 0);
}
