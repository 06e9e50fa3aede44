#include "tables/TableCopy.h"

#include <catch2/catch.hpp>

using namespace rr;

namespace {

TableRows rows(std::uint64_t Version, std::vector<TableRow> Items) {
  TableRows Result;
  Result.Version = Version;
  Result.Rows = std::move(Items);
  return Result;
}

} // namespace

// Guards against a reader that is told half a table.
TEST_CASE("A copy tells nothing before the table was read in full", "[copy]") {
  TableCopy Copy;
  Copy.applyChanges(rows(5, {{"a", "1", 5, false}}));
  CHECK(Copy.changesAfter(4).error() == make_error_code(Errc::Unavailable));
  Copy.applyFull(rows(6, {{"a", "1", 5, false}}));
  CHECK(Copy.changesAfter(6)->Rows.empty());
  CHECK(Copy.changesAfter(5).error() == make_error_code(Errc::Stale));
}

// Guards against removed rows that live on at other instances.
TEST_CASE("Removed rows are told, also those that a full read lacks",
          "[copy]") {
  TableCopy Copy;
  Copy.applyFull(rows(3, {{"a", "1", 1, false}, {"b", "2", 2, false}}));
  Copy.applyChanges(rows(4, {{"a", "", 4, true}}));
  REQUIRE(Copy.changesAfter(3)->Rows.size() == 1);
  CHECK(Copy.changesAfter(3)->Rows[0].Deleted);
  Copy.applyFull(rows(9, {{"c", "3", 8, false}}));
  const auto Changes = Copy.changesAfter(4);
  REQUIRE(Changes->Rows.size() == 2);
  CHECK(Changes->Rows[0].Key == "b");
  CHECK(Changes->Rows[0].Deleted);
  CHECK(Changes->Rows[1].Key == "c");
  CHECK(Changes->Version == 9);
}

// Guards against an older row that replaces a newer one when two reads
// overlap.
TEST_CASE("A row does not go back to an older version", "[copy]") {
  TableCopy Copy;
  Copy.applyFull(rows(3, {{"a", "1", 1, false}}));
  Copy.applyChanges(rows(7, {{"a", "new", 7, false}}));
  Copy.applyChanges(rows(5, {{"a", "old", 5, false}}));
  const auto Changes = Copy.changesAfter(3);
  CHECK(Changes->Version == 7);
  CHECK(Changes->Rows.at(0).Value == "new");
}

// Guards against memory that grows with every server that was ever replaced,
// and against a reader that misses a removal that was forgotten.
TEST_CASE("Old removals are forgotten, and those who need them are told",
          "[copy]") {
  TableCopy Copy;
  Copy.applyFull(rows(1, {}));
  const std::uint64_t Last = 2 * TableCopy::MostRemoved;
  for (std::uint64_t Version = 2; Version <= Last; ++Version)
    Copy.applyChanges(
        rows(Version, {{"k" + std::to_string(Version), "", Version, true}}));
  CHECK(Copy.changesAfter(1).error() == make_error_code(Errc::Stale));
  CHECK(Copy.changesAfter(Last - 10)->Rows.size() == 10);
}
