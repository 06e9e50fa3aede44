#include "tables/FakeTables.h"
#include "tables/TableWatch.h"

#include "testing/TestLoop.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

struct WatchBed {
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

  ~WatchBed() {
    this->Watch.stop();
    this->Loop.advance(5s);
  }
};

} // namespace

TEST_CASE("A table is read in full and then followed", "[watch]") {
  WatchBed Bed;
  Bed.Tables.put("t", "a", "1");
  Bed.Loop.spawn([&]() -> asio::awaitable<void> { co_await Bed.Watch.run(); });
  CHECK(Bed.Seen.at("a") == "1");
  Bed.Tables.put("t", "b", "2");
  Bed.Tables.erase("t", "a");
  Bed.Loop.advance(1s);
  CHECK(Bed.Seen == std::map<std::string, std::string>{{"b", "2"}});
  CHECK(Bed.Snapshots == 1);
  CHECK(Clock::now() - Bed.Confirmed < 1500ms);
}

TEST_CASE("Changes that come all the time are read together, at a pace",
          "[watch]") {
  WatchBed Bed;
  Bed.Loop.spawn([&]() -> asio::awaitable<void> { co_await Bed.Watch.run(); });
  const int Before = Bed.Tables.Calls;
  for (int Step = 0; Step < 100; ++Step) {
    Bed.Tables.put("t", "a", std::to_string(Step));
    Bed.Loop.advance(50ms);
  }
  CHECK(Bed.Tables.Calls - Before <= 11);
  CHECK(Bed.Tables.Calls - Before >= 8);
}

TEST_CASE("While the store is away calls do not wait there, so that its return "
          "is noticed within a second",
          "[watch]") {
  WatchBed Bed;
  Bed.Loop.spawn([&]() -> asio::awaitable<void> { co_await Bed.Watch.run(); });
  Bed.Loop.advance(600ms);
  CHECK(Bed.Tables.LastWait == 2s);
  Bed.Tables.Down = true;
  Bed.Loop.advance(4s);
  CHECK(Bed.Tables.LastWait == 0s);
  Bed.Tables.Down = false;
  Bed.Tables.put("t", "a", "1");
  Bed.Loop.advance(1s);
  CHECK(Bed.Seen.count("a"));
  CHECK(Bed.Watch.isRecovering());
  Bed.Loop.advance(3s);
  CHECK_FALSE(Bed.Watch.isRecovering());
}

TEST_CASE("A table whose history was dropped is read in full again",
          "[watch]") {
  WatchBed Bed;
  Bed.Tables.put("t", "a", "1");
  Bed.Loop.spawn([&]() -> asio::awaitable<void> { co_await Bed.Watch.run(); });
  Bed.Tables.erase("t", "a");
  Bed.Tables.dropHistory();
  Bed.Loop.advance(3s);
  CHECK(Bed.Seen.empty());
  CHECK(Bed.Snapshots >= 2);
}

// Guards against many readers that seldom read and press a store that is away.
TEST_CASE("A reader that reads seldom tries seldom while the store is away",
          "[watch]") {
  WatchBed Bed;
  Bed.Loop.spawn([&]() -> asio::awaitable<void> { co_await Bed.Watch.run(); });
  Bed.Watch.setIntervals(0s, 16s);
  Bed.Loop.advance(20s);
  Bed.Tables.Down = true;
  const int Before = Bed.Tables.Calls;
  Bed.Loop.advance(20s);
  CHECK(Bed.Tables.Calls - Before <= 5);
  // It is in use again.
  Bed.Watch.setIntervals(2s, 500ms);
  Bed.Tables.Down = false;
  Bed.Tables.put("t", "a", "1");
  Bed.Loop.advance(500ms);
  CHECK(Bed.Seen.count("a"));
}

// Guards against a server that has left and stays in use because a reader
// that reads seldom takes its own pause for an outage.
TEST_CASE("A pause between reads is not taken for an outage", "[watch]") {
  WatchBed Bed;
  Bed.Loop.spawn([&]() -> asio::awaitable<void> { co_await Bed.Watch.run(); });
  Bed.Watch.setIntervals(2s, 8s);
  Bed.Loop.advance(20s);
  Bed.Tables.put("t", "a", "1");
  Bed.Loop.advance(9s);
  CHECK(Bed.Seen.count("a"));
  CHECK_FALSE(Bed.Watch.isRecovering());
}
