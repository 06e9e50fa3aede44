#include "usage/RestoredBed.h"
#include "usage/UsageLease.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start(1000s);
/// First number that is not a whole number for every receiver of tokens.
constexpr std::uint64_t TokenLimit = std::uint64_t(1) << 53;

UsageLeaseRow rowOf(const std::string &Holder, std::uint64_t Token) {
  UsageLeaseRow Row;
  Row.Holder = Holder;
  Row.Incarnation = "run";
  Row.Token = Token;
  Row.First = 10;
  Row.Done = 20;
  return Row;
}

std::uint64_t claimedToken(const UsageLeaseView &View) {
  return makeClaim(View, "x", "run", "p", 3).Token;
}

} // namespace

// Guards against a token that is given out twice, or falls, when nobody is left
// who knows the earlier ones.
TEST_CASE("The token of a claim is above all tokens of earlier eras of the "
          "store",
          "[usage][restore]") {
  UsageLeaseView Before;
  REQUIRE(observeLease(Before, std::nullopt, NoRow, {2, 1'000'000}, Start));
  UsageLeaseView NoRowLeft;
  REQUIRE(observeLease(NoRowLeft, std::nullopt, NoRow, {3, 40}, Start));
  CHECK(claimedToken(NoRowLeft) > claimedToken(Before));
  UsageLeaseView OldRowLeft;
  REQUIRE(observeLease(OldRowLeft, rowOf("a", 5), {3, 40}, {3, 40}, Start));
  CHECK(claimedToken(OldRowLeft) > claimedToken(Before));
  // A claim whose row is overwritten afterwards does not repeat its token.
  UsageLeaseView Later;
  REQUIRE(observeLease(Later, rowOf("a", 5), {3, 41}, {3, 41}, Start));
  CHECK(claimedToken(Later) > claimedToken(OldRowLeft));
}

TEST_CASE("Tokens rise across an upgrade and stay whole numbers",
          "[usage][restore]") {
  // An earlier release claimed the lease on a store that tells its era.
  UsageLeaseView View;
  REQUIRE(observeLease(View, rowOf("a", 900'000'000), {1, 40}, {1, 40}, Start));
  CHECK(claimedToken(View) > 900'000'000);
  // Years of writes and of daily restores, and an era that is no count.
  UsageLeaseView Old;
  REQUIRE(
      observeLease(Old, std::nullopt, NoRow, {8000, 1'000'000'000'000}, Start));
  CHECK(claimedToken(Old) < TokenLimit);
  UsageLeaseView Odd;
  REQUIRE(observeLease(Odd, std::nullopt, NoRow, {1'700'000'000, 40}, Start));
  CHECK(claimedToken(Odd) < TokenLimit);
}

// Guards against a lower token, and a window that is reported again, by an
// instance that saw more than the copy holds.
TEST_CASE("A claim after a restore keeps to what the instance saw before",
          "[usage][restore]") {
  UsageLeaseView View;
  UsageLeaseRow Seen = rowOf("b", 70);
  Seen.Done = 25;
  REQUIRE(observeLease(View, Seen, {0, 60}, {0, 60}, Start));
  REQUIRE(observeLease(View, rowOf("a", 5), {1, 40}, {1, 40}, Start));
  CHECK(claimedToken(View) > 70);
  CHECK(makeClaim(View, "x", "run", "p", 3).Done == 25);
}

TEST_CASE("Tokens do not fall when all instances are killed as the store comes "
          "back from a copy",
          "[usage][restore]") {
  const bool RowInCopy = GENERATE(false, true);
  RestoredBed Bed;
  if (!RowInCopy)
    Bed.keepCopy();
  Bed.writeOthers(50);
  REQUIRE(Bed.awaitHolder());
  if (RowInCopy)
    Bed.keepCopy();
  Bed.replaceHolder();
  const std::uint64_t Token = Bed.replaceHolder()->Reporter->duty().token();
  Bed.restore();
  Bed.restartAll();
  UsageTestBed::Node *const Next = Bed.awaitHolder();
  REQUIRE(Next);
  CHECK(Next->Reporter->duty().token() > Token);
}

// Guards against a claim while the holder, whose row is lost, may still act.
TEST_CASE(
    "A lease is claimed only after the new era was known for its duration",
    "[usage][restore]") {
  UsageClaimQuery Query;
  Query.Duration = 3s;
  Query.StartedAt = Start - 100s;
  // The row was absent, and is again.
  UsageLeaseView View;
  REQUIRE(observeLease(View, std::nullopt, NoRow, {0, 60}, Start));
  observeLease(View, std::nullopt, NoRow, {1, 40}, Start + 20s);
  CHECK(claimableFrom(View, Query) == Start + 23500ms);
  // The copy holds a row that the previous holder released.
  UsageLeaseView Released;
  REQUIRE(observeLease(Released, rowOf("b", 6), {0, 60}, {0, 60}, Start));
  UsageLeaseRow Row = rowOf("a", 5);
  Row.Released = true;
  REQUIRE(observeLease(Released, Row, {1, 40}, {1, 40}, Start + 20s));
  CHECK(claimableFrom(Released, Query) == Start + 23500ms);
  // A lease that was released in this era is free at once.
  Row.Token = 7;
  REQUIRE(observeLease(Released, Row, {1, 50}, {1, 50}, Start + 30s));
  CHECK(claimableFrom(Released, Query) == Start + 30s);
  // The store came back before the instance read it for the first time.
  UsageLeaseView First;
  REQUIRE(observeLease(First, Row, {1, 50}, {1, 50}, Start + 30s));
  CHECK(claimableFrom(First, Query) == Start + 33500ms);
}

// Guards against a pause in the reports of every window after a restore.
TEST_CASE("The holder goes on with its lease, and its row is back, when the "
          "copy is older than its claim",
          "[usage][restore]") {
  const bool RowInCopy = GENERATE(false, true);
  RestoredBed Bed;
  if (!RowInCopy)
    Bed.keepCopy();
  REQUIRE(Bed.awaitHolder());
  if (RowInCopy)
    Bed.keepCopy();
  UsageTestBed::Node *const Holder = Bed.replaceHolder();
  const std::uint64_t Token = Holder->Reporter->duty().token();
  Bed.advanceToWindow(1s);
  Bed.advance(10s);
  Bed.restore();
  Bed.advance(600ms);
  CHECK(Bed.holder() == Holder);
  CHECK(Holder->Reporter->duty().token() == Token);
  const std::string *const Row =
      Bed.Tables.find(UsageDuty::LeaseTable, UsageDuty::LeaseKey);
  REQUIRE(Row);
  CHECK(decodeLeaseRow(*Row)->Holder == Holder->Name);
  Bed.advance(20s);
  CHECK(Bed.holder() == Holder);
}

// Guards against two holders: the present one goes on after its lease has
// ended, or renews a row that another instance claimed.
TEST_CASE("The holder ends its duty in time if it cannot write its row again",
          "[usage][restore]") {
  RestoredBed Bed;
  REQUIRE(Bed.awaitHolder());
  Bed.keepCopy();
  UsageTestBed::Node *const Holder = Bed.replaceHolder();
  Bed.advanceToWindow(1s);
  Bed.advance(10s);
  Bed.restore();
  Holder->WritesRefused = true;
  Bed.advance(3s);
  CHECK_FALSE(Holder->Reporter->duty().isHeld());
  UsageTestBed::Node *const Next = Bed.awaitHolder();
  REQUIRE(Next);
  CHECK(Next != Holder);
  Bed.advance(20s);
}

// Guards against holders in the order A, B, A: the row of A is back, and A
// takes it for its own lease.
TEST_CASE("The previous holder does not act by its restored row",
          "[usage][restore]") {
  const bool Released = GENERATE(false, true);
  RestoredBed Bed;
  UsageTestBed::Node *const Previous = Bed.awaitHolder();
  REQUIRE(Previous);
  Bed.advance(12s);
  if (Released) {
    Previous->Standby = true;
    REQUIRE(Bed.awaitThat([&] { return !Previous->Reporter->duty().isHeld(); },
                          2s));
    Bed.advance(20ms);
    Bed.keepCopy();
    Previous->Standby = false;
  } else {
    Bed.keepCopy();
    Previous->StoreCut = true;
  }
  REQUIRE(Bed.awaitThat(
      [&] { return Bed.holder() && Bed.holder() != Previous; }, 10s));
  Previous->StoreCut = false;
  UsageTestBed::Node *const Holder = Bed.holder();
  Bed.advance(200ms);
  Bed.restore(100ms);
  for (int Round = 0; Round < 300; ++Round) {
    Bed.advance(10ms);
    CHECK_FALSE(Previous->Reporter->duty().isHeld());
  }
  CHECK(Bed.holder() == Holder);
  Bed.advance(20s);
}

// Guards against a write under a condition of the earlier era that matches a
// restored row, since numbers are given out again.
TEST_CASE("A claim that takes effect in another era gives no lease",
          "[usage][restore]") {
  RestoredBed Bed;
  REQUIRE(Bed.awaitHolder());
  Bed.advance(1s);
  Bed.Tables.IgnoreEraOfWrites = true;
  Bed.keepCopy();
  Bed.kill(*Bed.holder());
  for (const auto &Item : Bed.Nodes)
    Item->CommitDelay = 600ms;
  const std::string Before =
      *Bed.Tables.find(UsageDuty::LeaseTable, UsageDuty::LeaseKey);
  Bed.advance(3700ms);
  // The claim is on its way.
  REQUIRE(*Bed.Tables.find(UsageDuty::LeaseTable, UsageDuty::LeaseKey) ==
          Before);
  Bed.Tables.restore(*Bed.Saved);
  for (const auto &Item : Bed.Nodes)
    Item->CommitDelay = 0s;
  bool Written = false;
  for (int Round = 0; Round < 250; ++Round) {
    Bed.advance(10ms);
    Written = Written || *Bed.Tables.find(UsageDuty::LeaseTable,
                                          UsageDuty::LeaseKey) != Before;
    CHECK(Bed.holder() == nullptr);
  }
  CHECK(Written);
  CHECK(Bed.awaitHolder());
  Bed.advance(20s);
}

// Guards against another count for a window that was reported after the copy.
TEST_CASE("Reports that were lost with the store are not sent with other "
          "counts",
          "[usage][restore]") {
  // Who is left: the holder, the others, or nobody.
  const int Left = GENERATE(0, 1, 2);
  RestoredBed Bed;
  REQUIRE(Bed.awaitHolder());
  Bed.advanceToWindow(100ms);
  Bed.keepCopy();
  const UsageWindow Window = Bed.window();
  for (const auto &Item : Bed.Nodes)
    Bed.record(*Item, "w", 5);
  REQUIRE(Bed.awaitThat([&] { return Bed.reported(Window).has_value(); }));
  // Its row may not tell yet that the window is finished.
  Bed.advance(GENERATE(0ms, 1500ms));
  Bed.restore(100ms);
  if (Left == 1)
    Bed.kill(*Bed.holder());
  if (Left == 2)
    Bed.restartAll();
  if (Left > 0)
    for (const auto &Item : Bed.Nodes)
      if (Item->Reporter)
        Bed.record(*Item, "w", 2);
  Bed.advance(30s);
  CHECK(Bed.reported(Window) == 15);
  // Reports go on. Windows of the time without a holder may be missing.
  CHECK(Bed.reported(Window + 6));
  if (Left == 0)
    for (UsageWindow Next = Window; Next < Window + 6; ++Next)
      CHECK(Bed.reported(Next));
}

// Guards against a report that is sent while its row is lost: if the holder
// were killed then, nobody would know what it sent.
TEST_CASE("The holder stores its reports again before it sends them",
          "[usage][restore]") {
  RestoredBed Bed;
  UsageTestBed::Node *const Holder = Bed.awaitHolder();
  REQUIRE(Holder);
  Bed.advanceToWindow(100ms);
  Bed.keepCopy();
  Bed.ApiStatus = 503;
  const UsageWindow Window = Bed.window();
  for (const auto &Item : Bed.Nodes)
    Bed.record(*Item, "w", 5);
  const std::string Key = std::to_string(Window);
  const auto IsStored = [&] {
    const std::string *Row = Bed.Tables.find(UsageDuty::ReportTable, Key);
    return Row && !Row->empty();
  };
  REQUIRE(Bed.awaitThat(IsStored));
  Bed.advance(100ms);
  Bed.restore(100ms);
  REQUIRE_FALSE(IsStored());
  CHECK(Bed.awaitThat(IsStored, 1s));
  Bed.kill(*Holder);
  Bed.ApiStatus = 200;
  REQUIRE(Bed.awaitThat([&] { return Bed.reported(Window).has_value(); }));
  CHECK(Bed.reported(Window) == 15);
}

// Guards against two holders, and windows that are late, after restores that
// follow each other within the lease and one change of the holder.
TEST_CASE("A second restore within five seconds changes nothing",
          "[usage][restore]") {
  const auto Between = GENERATE(100ms, 700ms, 2500ms, 4000ms);
  const bool SameCopy = GENERATE(false, true);
  RestoredBed Bed;
  REQUIRE(Bed.awaitHolder());
  Bed.keepCopy();
  UsageTestBed::Node *const Holder = Bed.replaceHolder();
  const std::uint64_t Token = Holder->Reporter->duty().token();
  Bed.advanceToWindow(100ms);
  const UsageWindow Window = Bed.window();
  for (const auto &Item : Bed.Nodes)
    if (Item->Reporter)
      Bed.record(*Item, "w", 5);
  Bed.advance(9900ms);
  Bed.restore();
  if (!SameCopy)
    Bed.keepCopy();
  Bed.advance(Between);
  Bed.restore();
  Bed.advance(30s);
  CHECK(Bed.holder() == Holder);
  CHECK(Holder->Reporter->duty().token() == Token);
  CHECK(Bed.reported(Window) == 10);
  for (UsageWindow Next = Window; Next < Window + 6; ++Next)
    CHECK(Bed.reported(Next));
}

TEST_CASE("All are killed between two restores, and no rule is broken",
          "[usage][restore]") {
  const auto Between = GENERATE(100ms, 2500ms, 4000ms);
  RestoredBed Bed;
  REQUIRE(Bed.awaitHolder());
  Bed.keepCopy();
  Bed.replaceHolder();
  Bed.advanceToWindow(100ms);
  for (const auto &Item : Bed.Nodes)
    if (Item->Reporter)
      Bed.record(*Item, "w", 5);
  Bed.advance(12s);
  Bed.restore();
  Bed.advance(Between);
  Bed.restartAll();
  Bed.restore();
  for (const auto &Item : Bed.Nodes)
    Bed.record(*Item, "w", 1);
  const std::size_t Calls = Bed.Api.calls().size();
  Bed.advance(30s);
  CHECK(Bed.Api.calls().size() > Calls);
}
