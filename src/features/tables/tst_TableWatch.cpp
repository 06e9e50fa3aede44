#include "base/Timer.h"
#include "tables/FakeTables.h"
#include "tables/TableWatch.h"

#include "testing/TestLoop.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

struct WatchFixture {
  TestLoop Loop;
  FakeTables Tables;
  TableStore Store = Tables.tables();
  std::map<std::string, std::string> Seen;
  int Snapshots = 0;
  Clock::time_point Confirmed{};
  TableWatch Watch{
      this->Loop.context(),
      this->Store,
      {"t", 2s, 500ms},
      {[this](const TableRows &Rows) {
         ++this->Snapshots;
         this->Seen.clear();
         this->apply(Rows);
       },
       [this](const TableRows &Rows) { this->apply(Rows); },
       [this](Clock::time_point AsOf) { this->Confirmed = AsOf; }}};

  void apply(const TableRows &Rows) {
    for (const TableRow &Row : Rows.Rows)
      if (Row.Deleted)
        this->Seen.erase(Row.Key);
      else
        this->Seen[Row.Key] = Row.Value;
  }

  ~WatchFixture() {
    this->Watch.stop();
    this->Loop.advance(5s);
  }
};

} // namespace

TEST_CASE("A table is read in full and then followed", "[watch]") {
  WatchFixture Fixture;
  Fixture.Tables.put("t", "a", "1");
  Fixture.Loop.spawn(
      [&]() -> asio::awaitable<void> { co_await Fixture.Watch.run(); });
  CHECK(Fixture.Seen.at("a") == "1");
  Fixture.Tables.put("t", "b", "2");
  Fixture.Tables.erase("t", "a");
  Fixture.Loop.advance(1s);
  CHECK(Fixture.Seen == std::map<std::string, std::string>{{"b", "2"}});
  CHECK(Fixture.Snapshots == 1);
  CHECK(Clock::now() - Fixture.Confirmed < 1500ms);
}

TEST_CASE("Frequent changes are read in batches, once per period", "[watch]") {
  WatchFixture Fixture;
  Fixture.Loop.spawn(
      [&]() -> asio::awaitable<void> { co_await Fixture.Watch.run(); });
  const int Before = Fixture.Tables.Calls;
  for (int Step = 0; Step < 100; ++Step) {
    Fixture.Tables.put("t", "a", std::to_string(Step));
    Fixture.Loop.advance(50ms);
  }
  CHECK(Fixture.Tables.Calls - Before <= 11);
  CHECK(Fixture.Tables.Calls - Before >= 8);
}

TEST_CASE("While the store is unavailable calls do not wait there, so that "
          "recovery is noticed within a second",
          "[watch]") {
  WatchFixture Fixture;
  Fixture.Loop.spawn(
      [&]() -> asio::awaitable<void> { co_await Fixture.Watch.run(); });
  Fixture.Loop.advance(600ms);
  CHECK(Fixture.Tables.LastWait == 2s);
  Fixture.Tables.Down = true;
  Fixture.Loop.advance(4s);
  CHECK(Fixture.Tables.LastWait == 0s);
  Fixture.Tables.Down = false;
  Fixture.Tables.put("t", "a", "1");
  Fixture.Loop.advance(1s);
  CHECK(Fixture.Seen.count("a"));
  CHECK(Fixture.Watch.isRecovering());
  Fixture.Loop.advance(3s);
  CHECK_FALSE(Fixture.Watch.isRecovering());
}

TEST_CASE("A table whose history was dropped is read in full again",
          "[watch]") {
  WatchFixture Fixture;
  Fixture.Tables.put("t", "a", "1");
  Fixture.Loop.spawn(
      [&]() -> asio::awaitable<void> { co_await Fixture.Watch.run(); });
  Fixture.Tables.erase("t", "a");
  Fixture.Tables.dropHistory();
  Fixture.Loop.advance(3s);
  CHECK(Fixture.Seen.empty());
  CHECK(Fixture.Snapshots >= 2);
}

// Guards against many readers with long polling periods that overload an
// unavailable store with retries.
TEST_CASE("A reader with a long period retries at long intervals during an "
          "outage",
          "[watch]") {
  WatchFixture Fixture;
  Fixture.Loop.spawn(
      [&]() -> asio::awaitable<void> { co_await Fixture.Watch.run(); });
  Fixture.Watch.setIntervals(0s, 16s);
  Fixture.Loop.advance(20s);
  Fixture.Tables.Down = true;
  const int Before = Fixture.Tables.Calls;
  Fixture.Loop.advance(20s);
  CHECK(Fixture.Tables.Calls - Before <= 5);
  // The reader returns to a short period, as an instance that leaves standby
  // does.
  Fixture.Watch.setIntervals(2s, 500ms);
  Fixture.Tables.Down = false;
  Fixture.Tables.put("t", "a", "1");
  Fixture.Loop.advance(500ms);
  CHECK(Fixture.Seen.count("a"));
}

// Guards against a server that has left but stays in use because a reader with
// a long polling period treats its own pause as an outage of the store.
TEST_CASE("A pause between reads is not treated as an outage", "[watch]") {
  WatchFixture Fixture;
  Fixture.Loop.spawn(
      [&]() -> asio::awaitable<void> { co_await Fixture.Watch.run(); });
  Fixture.Watch.setIntervals(2s, 8s);
  Fixture.Loop.advance(20s);
  Fixture.Tables.put("t", "a", "1");
  Fixture.Loop.advance(9s);
  CHECK(Fixture.Seen.count("a"));
  CHECK_FALSE(Fixture.Watch.isRecovering());
}

TEST_CASE("A relayed read is no more current than the rows that the other "
          "instance had read",
          "[watch]") {
  WatchFixture Fixture;
  Fixture.Store.ReadChanges =
      [](std::string, StoreVersion After,
         Clock::duration) -> asio::awaitable<Outcome<TableRows>> {
    co_await sleepFor(500ms);
    TableRows Rows;
    Rows.Version = After;
    Rows.Relayed = true;
    Rows.AsOf = Clock::now() - 3s;
    co_return Rows;
  };
  Fixture.Loop.spawn(
      [&]() -> asio::awaitable<void> { co_await Fixture.Watch.run(); });
  Fixture.Loop.advance(4s);
  CHECK(Clock::now() - Fixture.Watch.currentUntil() >= 3s);
}
