#include "testing/MachineUptime.h"
#include "usage/UsageBacklog.h"
#include "usage/UsageLease.h"
#include "usage/UsageTestBed.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start(1000s);

UsageLeaseRow rowOf(const std::string &Holder, std::uint64_t Token) {
  UsageLeaseRow Row;
  Row.Holder = Holder;
  Row.Incarnation = "run";
  Row.Token = Token;
  Row.First = 10;
  Row.Done = 20;
  return Row;
}

UsageLeaseView viewOf(const UsageLeaseRow &Row) {
  UsageLeaseView View;
  observeLease(View, Row, {0, 7}, {0, 7}, Start);
  return View;
}

UsageClaimQuery query() {
  UsageClaimQuery Query;
  Query.Duration = 3s;
  Query.StartedAt = Start - 100s;
  return Query;
}

} // namespace

// Guards against a report that arrives after the end of the lease.
TEST_CASE("A holder may act until one second before the end of its lease",
          "[usage]") {
  const HeldUsageLease Held{1, Start};
  CHECK(mayAct(Held, 3s, Start));
  CHECK(mayAct(Held, 3s, Start + 1999ms));
  CHECK_FALSE(mayAct(Held, 3s, Start + 2s));
  CHECK_FALSE(mayAct(Held, 3s, Start + 100s));
}

// Guards against a claim while the holder may still act.
TEST_CASE("The lease is claimed after the row was the same for its duration",
          "[usage]") {
  UsageLeaseView View;
  CHECK(claimableFrom(View, query()) == Clock::time_point::max());
  View = viewOf(rowOf("a", 5));
  CHECK(claimableFrom(View, query()) == Start + 3500ms);
  CHECK(observeLease(View, rowOf("a", 5), {0, 8}, {0, 8}, Start + 2s));
  CHECK(claimableFrom(View, query()) == Start + 5500ms);
  // The same row read once more, and an older one, change nothing.
  CHECK_FALSE(observeLease(View, rowOf("a", 5), {0, 8}, {0, 8}, Start + 3s));
  CHECK_FALSE(observeLease(View, rowOf("b", 4), {0, 6}, {0, 6}, Start + 3s));
  CHECK(claimableFrom(View, query()) == Start + 5500ms);
}

// Guards against holders that act in the order A, B, A.
TEST_CASE("A released lease is free at once, except for who may have held it",
          "[usage]") {
  UsageLeaseRow Row = rowOf("a", 5);
  Row.Released = true;
  const UsageLeaseView View = viewOf(Row);
  UsageClaimQuery Query = query();
  CHECK(claimableFrom(View, Query) == Start);
  Query.HeldUntil = Start - 1s;
  CHECK(claimableFrom(View, Query) == Start + 2s);
  Query.HeldUntil = Start - 10s;
  CHECK(claimableFrom(View, Query) == Start);
  Query.StartedAt = Start - 500ms;
  CHECK(claimableFrom(View, Query) == Start + 2500ms);
}

TEST_CASE("Candidates wait in the order of their ranks", "[usage]") {
  const UsageLeaseView View = viewOf(rowOf("a", 5));
  const std::vector<std::string> Names{"a", "b", "c", "d"};
  std::set<std::size_t> Ranks;
  for (const char *Name : {"b", "c", "d"})
    Ranks.insert(claimRank(Names, Name, View));
  // The holder does not take a place.
  CHECK(Ranks == std::set<std::size_t>{0, 1, 2});
  UsageClaimQuery Query = query();
  Query.Rank = 2;
  CHECK(claimableFrom(View, Query) == Start + 4100ms);
}

// Guards against two holders with one token, and against windows that are
// reported again.
TEST_CASE("A claim raises the token and keeps what is finished", "[usage]") {
  UsageLeaseView View = viewOf(rowOf("a", 5));
  const UsageLeaseRow Claim = makeClaim(View, "a", "run2", "p", 99);
  CHECK(Claim.Token == 6);
  CHECK(Claim.Done == 20);
  CHECK(Claim.First == 10);
  CHECK(Claim.Incarnation == "run2");
  // The row was removed: no earlier token may be above the version of the
  // store.
  REQUIRE(observeLease(View, std::nullopt, NoRow, {0, 40}, Start));
  CHECK(makeClaim(View, "b", "run", "p", 3).Token == 41);
  CHECK(makeClaim(View, "b", "run", "p", 3).Done == 20);
  CHECK(makeClaim(View, "b", "run", "p", 50).First == 50);
}

TEST_CASE("Rows that were not written by the program are refused", "[usage]") {
  const UsageLeaseRow Row = rowOf("a", 5);
  CHECK(decodeLeaseRow(encodeLeaseRow(Row)) == Row);
  for (const char *Text : {"", "{}", "[]", "{\"holder\":1}"})
    CHECK_FALSE(decodeLeaseRow(Text));
  CHECK(decodePendingReport(encodePendingReport({{"w", 3}})) ==
        UsageCounts{{"w", 3}});
  CHECK(decodePendingReport(encodePendingReport({}))->empty());
  CHECK_FALSE(decodePendingReport("{\"w\":-1}"));
  CHECK(decodeWindowKey("353445120") == 353445120);
  CHECK_FALSE(decodeWindowKey("12x"));
}

// Guards against a report that is sent before its counts are stored.
TEST_CASE("A report is sent once it is stored, and removed once accepted",
          "[usage]") {
  UsageBacklog Backlog(9, {});
  Backlog.close({{"w", 1}});
  Backlog.leaveOut();
  Backlog.close({{"w", 3}});
  CHECK(Backlog.unstored() == std::vector<UsageWindow>{10, 12});
  CHECK_FALSE(Backlog.nextToSend());
  Backlog.recordStored({10, 12});
  CHECK(Backlog.nextToSend() == 10);
  CHECK(Backlog.done() == 9);
  Backlog.accept(10);
  CHECK(Backlog.done() == 11);
  CHECK(Backlog.removable() == std::vector<UsageWindow>{10});
  Backlog.recordRemoved({10});
  CHECK(Backlog.removable().empty());
  CHECK(Backlog.nextToSend() == 12);
}

// Guards against other counts for windows that an earlier holder stored.
TEST_CASE("Stored reports are taken over as they are", "[usage]") {
  UsageBacklog Backlog(9, {{8, UsageCounts{{"w", 8}}},
                           {10, UsageCounts{{"w", 10}}},
                           {12, std::nullopt}});
  CHECK(Backlog.removable() == std::vector<UsageWindow>{8});
  CHECK(Backlog.nextToSend() == 10);
  CHECK(Backlog.report(10).Counts == UsageCounts{{"w", 10}});
  CHECK(Backlog.nextToClose() == 13);
  Backlog.accept(10);
  CHECK_FALSE(Backlog.nextToSend());
  CHECK(Backlog.done() == 12);
}

TEST_CASE("The oldest report is given up when too many wait", "[usage]") {
  UsageBacklog Backlog(0, {});
  for (std::size_t Index = 0; Index < UsageBacklog::MaxWindows; ++Index)
    Backlog.close({});
  CHECK_FALSE(Backlog.dropOldest());
  Backlog.close({});
  CHECK(Backlog.dropOldest() == 1);
  CHECK(Backlog.done() == 1);
}

// Guards against a search for reports whose first window is before the start of
// the machine: it found none in the first 17 minutes.
TEST_CASE("Stored reports are counted however long the machine has been up",
          "[usage]") {
  const MachineUptime Uptime(GENERATE(1s, 12s, 999s, 1001s, 100h));
  UsageTestBed Bed(1);
  CHECK(Bed.storedReports() == 0);
  Bed.Tables.put(UsageDuty::ReportTable, std::to_string(Bed.window()), "{}");
  CHECK(Bed.storedReports() == 1);
}
