#include "tables/ChangeLog.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point T0{100s};

/// A version of the first era.
StoreVersion at(std::uint64_t Number) { return {1, Number}; }

TableRows rows(std::uint64_t Version, std::vector<TableRow> Items) {
  TableRows Result;
  Result.Version = at(Version);
  Result.Rows = std::move(Items);
  return Result;
}

} // namespace

// Guards against a reader that receives an incomplete set of changes.
TEST_CASE("A log refuses queries for versions before its first read", "[log]") {
  ChangeLog Log;
  CHECK(Log.changesAfter(4).error() == make_error_code(Errc::Unavailable));
  Log.append(at(4), rows(6, {{"a", "1", at(5), false}}), T0);
  CHECK(Log.changesAfter(3).error() == make_error_code(Errc::Stale));
  CHECK(Log.changesAfter(4)->Rows.size() == 1);
  CHECK(Log.changesAfter(6)->Rows.empty());
  // The reader has a newer version than the log.
  CHECK(Log.changesAfter(9)->Rows.empty());
}

TEST_CASE("A log starts over after a gap between reads", "[log]") {
  ChangeLog Log;
  Log.append(at(4), rows(6, {{"a", "1", at(5), false}}), T0);
  Log.append(at(9), rows(10, {{"b", "1", at(10), false}}), T0);
  CHECK(Log.changesAfter(6).error() == make_error_code(Errc::Stale));
  CHECK(Log.changesAfter(9)->Rows.size() == 1);
}

// Guards against removed rows that stay present at other instances, and against
// an older row that replaces a newer one when two reads overlap.
TEST_CASE("A log returns the newest state of each row", "[log]") {
  ChangeLog Log;
  Log.append(at(1),
             rows(7, {{"a", "", at(7), true}, {"b", "new", at(6), false}}), T0);
  Log.append(at(1),
             rows(5, {{"a", "1", at(4), false}, {"b", "old", at(5), false}}),
             T0);
  const auto Changes = Log.changesAfter(1);
  CHECK(Changes->Version == at(7));
  REQUIRE(Changes->Rows.size() == 2);
  CHECK(Changes->Rows[0].Deleted);
  CHECK(Changes->Rows[1].Value == "new");
}

// Guards against memory that grows with every server that was ever replaced,
// and against a reader that misses a change that has expired from the log.
TEST_CASE(
    "Expired changes are removed, and a reader that needs them gets Stale",
    "[log]") {
  ChangeLog Log;
  Log.append(at(1), rows(2, {{"a", "1", at(2), false}}), T0);
  Log.append(at(2), rows(3, {{"b", "1", at(3), false}}),
             T0 + ChangeLog::RetentionPeriod);
  CHECK(Log.changesAfter(1).error() == make_error_code(Errc::Stale));
  CHECK(Log.changesAfter(2)->Rows.size() == 1);
}

// Guards against rows of two eras in one answer, whose numbers cannot be
// compared.
TEST_CASE("A log starts over with the rows of a new era", "[log][restore]") {
  ChangeLog Log;
  Log.append(at(1), rows(90, {{"a", "lost", at(90), false}}), T0);
  TableRows Restored;
  Restored.Version = {2, 50};
  Restored.Rows = {{"b", "new", {2, 50}, false}};
  Log.append({2, 49}, Restored, T0);
  const auto Changes = Log.changesAfter(49);
  REQUIRE(Changes);
  CHECK(Changes->Version == StoreVersion(2, 50));
  REQUIRE(Changes->Rows.size() == 1);
  CHECK(Changes->Rows[0].Value == "new");
  // A read that began in the era before.
  Log.append(at(80), rows(95, {{"a", "late", at(95), false}}), T0);
  CHECK(Log.changesAfter(49)->Version == StoreVersion(2, 50));
}
