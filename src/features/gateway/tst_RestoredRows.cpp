#include "gateway/RestoredRows.h"
#include "gateway/RestoredServer.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point T0{100s};

BackendRecord server(bool Draining, std::int64_t StartTimeMs) {
  BackendRecord Record;
  Record.Id = "b1";
  Record.Address = "192.0.2.1:80";
  Record.Draining = Draining;
  Record.StartTimeMs = StartTimeMs;
  return Record;
}

TableRows wholeRead(StoreVersion Version, std::vector<TableRow> Items = {}) {
  TableRows Rows;
  Rows.Version = Version;
  Rows.Rows = std::move(Items);
  return Rows;
}

} // namespace

// Guards against rows that are held in an era in which nothing was lost.
TEST_CASE("Only the first whole read of a later era begins one", "[restore]") {
  RestoredRows Rows;
  CHECK_FALSE(Rows.recordWholeRead(wholeRead({3, 50}), T0));
  CHECK_FALSE(Rows.isRewriting());
  CHECK_FALSE(Rows.recordWholeRead(wholeRead({3, 60}), T0));
  CHECK(Rows.recordWholeRead(wholeRead({4, 40}), T0));
  CHECK_FALSE(Rows.recordWholeRead(wholeRead({4, 41}), T0));
  CHECK(Rows.recordWholeRead(wholeRead({6, 40}), T0));
}

// Guards against a time to write again that ends although the table was not
// read, or that ends with the one of an earlier restore.
TEST_CASE("The time to write again ends when the table is known up to its end",
          "[restore]") {
  RestoredRows Rows;
  Rows.recordWholeRead(wholeRead({1, 50}), T0);
  Rows.recordWholeRead(wholeRead({2, 40}), T0);
  Rows.confirm(T0 + RestoredRows::RewriteTime - 1ms);
  CHECK(Rows.isRewriting());
  Rows.recordWholeRead(wholeRead({3, 40}), T0 + 2s);
  Rows.confirm(T0 + RestoredRows::RewriteTime);
  CHECK(Rows.isRewriting());
  Rows.confirm(T0 + 2s + RestoredRows::RewriteTime);
  CHECK_FALSE(Rows.isRewriting());
}

// Guards against a standby that uses servers which were removed before the copy
// was made: it had not read the table for longer than the copy is old.
TEST_CASE("A row counts as lost only if the table was followed until shortly "
          "before",
          "[restore]") {
  RestoredRows Rows;
  Rows.recordWholeRead(wholeRead({1, 50}), T0);
  Rows.confirm(T0 + 1s);
  Rows.recordWholeRead(wholeRead({2, 40}), T0 + 1s + RestoredRows::MaxKnownAge);
  CHECK(Rows.mayHaveLostRows());
  Rows.recordWholeRead(wholeRead({3, 40}),
                       T0 + 1001ms + RestoredRows::MaxKnownAge);
  CHECK(Rows.isRewriting());
  CHECK_FALSE(Rows.mayHaveLostRows());
}

TEST_CASE("A row is held until it is written, removed, or a new era begins",
          "[restore]") {
  RestoredRows Rows;
  Rows.recordWholeRead(wholeRead({1, 50}), T0);
  Rows.recordWholeRead(wholeRead({2, 40}), T0);
  Rows.hold({"b1", "", {2, 30}, false});
  CHECK(Rows.isHeld({"b1", "", {2, 30}, false}));
  CHECK_FALSE(Rows.isHeld({"b1", "", {2, 41}, false}));
  CHECK_FALSE(Rows.isHeld({"b1", "", {2, 30}, true}));
  CHECK_FALSE(Rows.isHeld({"b2", "", {2, 30}, false}));
  Rows.recordWholeRead(wholeRead({3, 40}), T0);
  CHECK_FALSE(Rows.isHeld({"b1", "", {2, 30}, false}));
}

// Guards against a number of one era that is compared with one of another.
TEST_CASE("A higher number proves a later write only in the next era",
          "[restore]") {
  CHECK(wasWrittenAfter({"b1", "", {2, 51}, false}, {1, 50}));
  CHECK_FALSE(wasWrittenAfter({"b1", "", {2, 50}, false}, {1, 50}));
  CHECK_FALSE(wasWrittenAfter({"b1", "", {3, 51}, false}, {1, 50}));
}

TEST_CASE("The row of a server in a copy is compared with what is known of it",
          "[restore]") {
  const TableRow Row{"b1", "", {2, 30}, false};
  const BackendRecord Ready = server(false, 5);
  const BackendRecord Draining = server(true, 5);
  CHECK(compareRestored(Row, Ready, nullptr, nullptr) ==
        RestoredServer::Current);
  CHECK(compareRestored(Row, Ready, &Ready, nullptr) ==
        RestoredServer::Current);
  CHECK(compareRestored(Row, Draining, &Ready, nullptr) ==
        RestoredServer::Current);
  CHECK(compareRestored(Row, Ready, &Draining, nullptr) ==
        RestoredServer::Drains);
  CHECK(compareRestored(Row, server(false, 6), &Draining, nullptr) ==
        RestoredServer::Current);
  CHECK(compareRestored(Row, server(false, 4), &Ready, nullptr) ==
        RestoredServer::EarlierRun);
  const RemovedServer Removed{5, {1, 50}, T0};
  CHECK(compareRestored(Row, Ready, nullptr, &Removed) == RestoredServer::Gone);
  CHECK(compareRestored(Row, server(false, 6), nullptr, &Removed) ==
        RestoredServer::Current);
  const TableRow Later{"b1", "", {2, 51}, false};
  CHECK(compareRestored(Later, Ready, nullptr, &Removed) ==
        RestoredServer::Current);
}

TEST_CASE("A held row that a later whole read lacks is not held any more",
          "[restore]") {
  RestoredRows Rows;
  const TableRow Kept{"b1", "", {2, 30}, false};
  Rows.recordWholeRead(wholeRead({1, 50}), T0);
  Rows.recordWholeRead(wholeRead({2, 40}), T0);
  Rows.hold(Kept);
  Rows.hold({"b2", "", {2, 31}, false});
  Rows.recordWholeRead(wholeRead({2, 45}, {Kept}), T0);
  REQUIRE(Rows.held().size() == 1);
  CHECK(Rows.held()[0].Key == "b1");
}
