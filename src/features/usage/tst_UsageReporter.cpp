#include "testing/MachineUptime.h"
#include "usage/UsageTestBed.h"

#include <asio/co_spawn.hpp>
#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// The bed with a holder, at the beginning of a window.
struct RunningBed : UsageTestBed {
  explicit RunningBed(std::size_t Count = 3) : UsageTestBed(Count) {
    this->First = this->awaitHolder();
    REQUIRE(this->First);
    // All instances have sent their counts to the holder.
    this->advanceToWindow(100ms);
  }

  ~RunningBed() {
    for (const std::string &Text : this->Api.violations())
      UNSCOPED_INFO(Text);
    CHECK(this->Api.violations().empty());
  }

  /// Records one request at each instance and returns their window.
  UsageWindow recordEverywhere() {
    for (const auto &Item : this->Nodes)
      if (Item->Reporter)
        this->record(*Item, "w", 1);
    return this->window();
  }

  bool awaitReport(UsageWindow Window, Clock::duration Limit = 40s) {
    return this->awaitThat([&] { return this->reported(Window).has_value(); },
                           Limit);
  }

  Node *First = nullptr;
};

} // namespace

// Guards against counts that are missing, added twice or late in ordinary
// operation.
TEST_CASE("Each window is reported once, before it is due, with the counts of "
          "all instances",
          "[usage]") {
  RunningBed Bed;
  const UsageWindow Window = Bed.window();
  for (int Round = 0; Round < 3; ++Round) {
    Bed.record(*Bed.Nodes[0], "a", 2);
    Bed.record(*Bed.Nodes[1], "a", 3);
    Bed.record(*Bed.Nodes[2], "b", 4);
    Bed.advance(1300ms);
  }
  REQUIRE(Bed.awaitReport(Window));
  CHECK(trueTime() < windowEnd(Window, 5s) + 10s);
  CHECK(Bed.Api.reports().at(Window) == UsageCounts{{"a", 15}, {"b", 12}});
  // Windows without requests are reported too, and stored rows removed.
  REQUIRE(Bed.awaitReport(Window + 4));
  for (UsageWindow Next = Window; Next <= Window + 4; ++Next)
    CHECK(Bed.reported(Next));
  CHECK(Bed.reported(Window + 1) == 0);
  CHECK(Bed.Api.calls().size() == Bed.Api.reports().size());
  Bed.advance(2s);
  CHECK(Bed.storedReports() == 0);
}

// Guards against two holders with one token, or a holder that is lost for good.
TEST_CASE("A holder that is killed between its claim and its first report is "
          "replaced",
          "[usage]") {
  UsageTestBed Bed(3);
  UsageTestBed::Node *First = Bed.awaitHolder();
  REQUIRE(First);
  const UsageWindow Window = Bed.window();
  const std::uint64_t Token = First->Reporter->duty().token();
  Bed.kill(*First);
  UsageTestBed::Node *Second = Bed.awaitHolder();
  REQUIRE(Second);
  CHECK(Second->Reporter->duty().token() > Token);
  REQUIRE(Bed.awaitThat([&] { return Bed.reported(Window).has_value(); }, 40s));
  CHECK(Bed.Api.violations().empty());
}

// Guards against a frozen holder that goes on where it was when it resumes.
TEST_CASE("A holder that was frozen past its lease sends nothing afterwards",
          "[usage]") {
  RunningBed Bed;
  const UsageWindow Window = Bed.recordEverywhere();
  // Frozen once the report is stored and before it is sent.
  REQUIRE(Bed.awaitThat([&] {
    return Bed.Tables.find(UsageDuty::ReportTable, std::to_string(Window));
  }));
  const std::size_t Calls = Bed.Api.calls().size();
  Bed.First->FrozenUntil = Clock::now() + 8s;
  REQUIRE(Bed.awaitReport(Window));
  CHECK(Bed.reported(Window) == 3);
  CHECK(Bed.Api.calls()[Calls].Machine != Bed.First->Name);
  Bed.advance(20s);
  const std::uint64_t Token = Bed.Api.calls().back().Report.Token;
  for (std::size_t At = Calls; At < Bed.Api.calls().size(); ++At)
    CHECK(Bed.Api.calls()[At].Machine != Bed.First->Name);
  REQUIRE(Calls > 0);
  CHECK(Token > Bed.Api.calls()[Calls - 1].Report.Token);
}

// Guards against a lease that is renewed after its end, when other instances
// may already have acted.
TEST_CASE("A holder whose lease ended goes on only with a new token",
          "[usage]") {
  RunningBed Bed(1);
  const std::uint64_t Token = Bed.First->Reporter->duty().token();
  Bed.First->FrozenUntil = Clock::now() + 5s;
  Bed.advance(5s);
  REQUIRE(Bed.awaitHolder());
  CHECK(Bed.First->Reporter->duty().token() > Token);
}

// Guards against a holder that reports on while it cannot renew its lease.
TEST_CASE("A holder that the store rejects while it serves others stops before "
          "its lease ends",
          "[usage]") {
  const MachineUptime Uptime(GENERATE(1s, 12s, 999s, 100h));
  RunningBed Bed;
  const bool Refuse = GENERATE(false, true);
  Bed.ApiStatus = 503;
  Bed.recordEverywhere();
  REQUIRE(Bed.awaitThat([&] { return Bed.storedReports() > 0; }));
  (Refuse ? Bed.First->WritesRefused : Bed.First->StoreCut) = true;
  Bed.advance(2200ms);
  Bed.ApiStatus = 200;
  const std::size_t Calls = Bed.Api.calls().size();
  Bed.advance(1s);
  // Nobody may report in this time.
  CHECK(Bed.Api.calls().size() == Calls);
  REQUIRE(Bed.awaitThat([&] { return Bed.Api.calls().size() > Calls; }));
  CHECK(Bed.Api.calls().back().Machine != Bed.First->Name);
  Bed.First->StoreCut = Bed.First->WritesRefused = false;
  Bed.advance(15s);
}

// Guards against a claim that takes effect after its time and makes two
// holders.
TEST_CASE("A claim that is executed late gives no right to report", "[usage]") {
  UsageTestBed Bed(2);
  Bed.Nodes[0]->Candidate = false;
  Bed.Nodes[1]->CommitDelay = 6s;
  // The claim is sent after 3.5 s and takes effect 6 s later.
  REQUIRE(Bed.awaitThat([&] {
    return Bed.Tables.find(UsageDuty::LeaseTable, UsageDuty::LeaseKey);
  }));
  CHECK_FALSE(Bed.Nodes[1]->Reporter->duty().isHeld());
  Bed.advance(100ms);
  CHECK_FALSE(Bed.Nodes[1]->Reporter->duty().isHeld());
  Bed.Nodes[1]->CommitDelay = 0s;
  Bed.Nodes[0]->Candidate = true;
  REQUIRE(Bed.awaitHolder());
  Bed.advance(30s);
  CHECK(Bed.Api.violations().empty());
  CHECK_FALSE(Bed.Api.calls().empty());
}

// Guards against a renewal of an earlier holder that is executed during the
// lease of the next one.
TEST_CASE("A late write of a frozen holder changes nothing", "[usage]") {
  RunningBed Bed;
  const UsageWindow Window = Bed.recordEverywhere();
  // The transaction that stores the report is under way for 9 s.
  Bed.advanceToWindow(0ms);
  Bed.advance(4500ms);
  Bed.First->CommitDelay = 9s;
  Bed.advance(1s);
  Bed.First->FrozenUntil = Clock::now() + 15s;
  REQUIRE(Bed.awaitReport(Window));
  CHECK(Bed.reported(Window) == 3);
  Bed.First->CommitDelay = 0s;
  Bed.advance(30s);
}

// Guards against two candidates that both take a claim for successful.
TEST_CASE("Of two candidates that claim at once one holds the lease",
          "[usage]") {
  UsageTestBed Bed(2);
  // Both writes are under way at the same time.
  Bed.Nodes[0]->CommitDelay = Bed.Nodes[1]->CommitDelay = 400ms;
  REQUIRE(Bed.awaitHolder());
  int Holders = 0;
  for (const auto &Item : Bed.Nodes)
    Holders += Item->Reporter->duty().isHeld() ? 1 : 0;
  CHECK(Holders == 1);
  Bed.advance(30s);
  CHECK(Bed.Api.violations().empty());
  CHECK(Bed.Api.calls().size() >= 4);
}

// Guards against other counts for a window whose report arrived although its
// answer was lost.
TEST_CASE("After a lost answer and the death of the holder the next one sends "
          "the same counts",
          "[usage]") {
  RunningBed Bed;
  Bed.recordEverywhere();
  Bed.First->LosesApiAnswers = true;
  const std::size_t Before = Bed.Api.calls().size();
  REQUIRE(Bed.awaitThat([&] { return Bed.Api.calls().size() > Before; }));
  const UsageWindow Window = Bed.Api.calls().back().Report.Window;
  // Requests of the window that end after it was closed.
  for (const auto &Item : Bed.Nodes)
    Item->Reporter->counter().record("w", Clock::now() - 6s);
  const std::size_t Calls = Bed.Api.calls().size();
  Bed.kill(*Bed.First);
  REQUIRE(Bed.awaitThat([&] { return Bed.Api.calls().size() > Calls; }));
  CHECK(Bed.Api.calls().back().Report.Window == Window);
  CHECK(Bed.Api.calls().back().Machine != Bed.First->Name);
}

// Guards against the loss of the counts that only the holder knew.
TEST_CASE("The next holder has the counts of one that was killed", "[usage]") {
  RunningBed Bed;
  const UsageWindow Window = Bed.recordEverywhere();
  // Copies are sent with the answers to messages.
  Bed.advance(1200ms);
  Bed.recordEverywhere();
  Bed.advance(1200ms);
  Bed.kill(*Bed.First);
  REQUIRE(Bed.awaitReport(Window));
  CHECK(Bed.reported(Window) == 6);
}

// Guards against a second set of counts after a restart of everything.
TEST_CASE("After all instances were killed the stored reports are sent as they "
          "are",
          "[usage]") {
  RunningBed Bed;
  const UsageWindow Window = Bed.recordEverywhere();
  Bed.ApiStatus = 503;
  REQUIRE(Bed.awaitThat([&] {
    return Bed.Tables.find(UsageDuty::ReportTable, std::to_string(Window));
  }));
  Bed.recordEverywhere();
  const UsageWindow Lost = Bed.window();
  for (const auto &Item : Bed.Nodes)
    Bed.kill(*Item);
  Bed.advance(7s);
  Bed.ApiStatus = 200;
  for (const auto &Item : Bed.Nodes)
    Bed.start(*Item);
  const UsageWindow Restart = Bed.window();
  REQUIRE(Bed.awaitReport(Restart + 1));
  CHECK(Bed.reported(Window) == 3);
  // Its counts were lost, so that it must not be reported.
  CHECK_FALSE(Bed.reported(Lost));
  CHECK_FALSE(Bed.reported(Restart));
}

// Guards against a lease that ends early because an answer was lost.
TEST_CASE("A holder whose answers from the store are lost keeps the lease",
          "[usage]") {
  RunningBed Bed;
  const std::uint64_t Token = Bed.First->Reporter->duty().token();
  Bed.First->LosesCommitAnswers = true;
  const UsageWindow Window = Bed.recordEverywhere();
  REQUIRE(Bed.awaitReport(Window));
  CHECK(Bed.reported(Window) == 3);
  CHECK(Bed.First->Reporter->duty().token() == Token);
}

// Guards against an instance that cannot reach the API and keeps the lease.
TEST_CASE("A holder that cannot reach the API gives the lease up", "[usage]") {
  RunningBed Bed;
  Bed.First->ApiCut = true;
  const UsageWindow Window = Bed.recordEverywhere();
  REQUIRE(Bed.awaitReport(Window));
  CHECK(Bed.reported(Window) == 3);
  CHECK(Bed.Api.calls().back().Machine != Bed.First->Name);
  Bed.advance(30s);
}

// Guards against a holder whose view of the fleet is too old.
TEST_CASE("A holder that becomes a standby gives the lease up, and its counts "
          "are reported",
          "[usage]") {
  RunningBed Bed;
  Bed.First->Standby = true;
  const UsageWindow Window = Bed.recordEverywhere();
  REQUIRE(Bed.awaitReport(Window));
  CHECK(Bed.reported(Window) == 3);
  CHECK(Bed.Api.calls().back().Machine != Bed.First->Name);
}

// Guards against a holder that waits for its peers for ever.
TEST_CASE("A holder that is cut off from its peers reports in time",
          "[usage]") {
  RunningBed Bed;
  const UsageWindow Window = Bed.recordEverywhere();
  Bed.advance(1500ms);
  Bed.First->PeersCut = true;
  REQUIRE(Bed.awaitReport(Window));
  CHECK(trueTime() < windowEnd(Window, 5s) + 10s);
  CHECK(Bed.reported(Window) == 3);
}

// Guards against counts that are lost with an instance that stops.
TEST_CASE("The counts of an instance that stops within a window are reported",
          "[usage]") {
  RunningBed Bed;
  const bool Holder = GENERATE(false, true);
  UsageTestBed::Node *Leaving = Bed.First;
  for (const auto &Item : Bed.Nodes)
    if (!Holder && Item.get() != Bed.First)
      Leaving = Item.get();
  const UsageWindow Window = Bed.recordEverywhere();
  Leaving->Reporter->handOver();
  Bed.advance(1s);
  Bed.record(*Leaving, "w", 5);
  bool Finished = false;
  asio::co_spawn(*Leaving->Context, Leaving->Reporter->finish(5s),
                 [&Finished](const std::exception_ptr &) { Finished = true; });
  REQUIRE(Bed.awaitThat([&] { return Finished; }, 6s));
  Bed.kill(*Leaving);
  REQUIRE(Bed.awaitReport(Window));
  CHECK(Bed.reported(Window) == 8);
  CHECK(trueTime() < windowEnd(Window, 5s) + 10s);
}

// Guards against reports of windows that have not ended, and against counts in
// wrong windows.
TEST_CASE("A machine whose clock is wrong neither closes windows early nor "
          "counts in others",
          "[usage]") {
  RunningBed Bed(4);
  const Clock::duration Error = GENERATE(30s, -30s);
  const bool Holder = GENERATE(false, true);
  UsageTestBed::Node *Wrong = Bed.First;
  for (const auto &Item : Bed.Nodes)
    if (!Holder && Item.get() != Bed.First)
      Wrong = Item.get();
  Wrong->ClockError = Error;
  const UsageWindow Window = Bed.recordEverywhere();
  Bed.advance(4s);
  Bed.recordEverywhere();
  REQUIRE(Bed.awaitReport(Window + 3));
  CHECK(Bed.reported(Window) == 8);
  CHECK(trueTime() >= windowEnd(Window + 3, 5s));
  CHECK(trueTime() < windowEnd(Window + 3, 5s) + 10s);
}

// Guards against counts that change after the window was closed.
TEST_CASE("An instance whose clock is behind does not change a closed window",
          "[usage]") {
  RunningBed Bed(2);
  Bed.Nodes[Bed.First == Bed.Nodes[0].get() ? 1 : 0]->ClockError = -900ms;
  const UsageWindow Window = Bed.recordEverywhere();
  REQUIRE(Bed.awaitReport(Window));
  Bed.advance(1s);
  for (const auto &Item : Bed.Nodes)
    Item->Reporter->counter().record("w", Clock::now() - 12s);
  Bed.kill(*Bed.First);
  REQUIRE(Bed.awaitReport(Window + 3));
  CHECK(Bed.reported(Window) == 2);
}

// Guards against an unlimited backlog, and against reports out of order.
TEST_CASE("While the API refuses, reports wait, and the oldest are given up",
          "[usage]") {
  RunningBed Bed(2);
  Bed.ApiStatus = 429;
  const UsageWindow Window = Bed.recordEverywhere();
  Bed.advance(160s);
  CHECK(Bed.holder() == Bed.First);
  CHECK(Bed.First->Reporter->duty().backlog().size() <=
        UsageBacklog::MaxWindows);
  Bed.ApiStatus = 200;
  REQUIRE(Bed.awaitReport(Bed.window()));
  CHECK_FALSE(Bed.reported(Window));
  const auto &Calls = Bed.Api.calls();
  for (std::size_t At = 1; At < Calls.size(); ++At)
    CHECK(Calls[At - 1].Report.Window <= Calls[At].Report.Window);
}

// Guards against a duty that is lost with the history of the store.
TEST_CASE("The duty goes on when the store loses its history or the row",
          "[usage]") {
  RunningBed Bed;
  Bed.recordEverywhere();
  Bed.Tables.dropHistory();
  Bed.advance(5s);
  CHECK(Bed.holder() == Bed.First);
  const std::uint64_t Token = Bed.First->Reporter->duty().token();
  Bed.Tables.erase(UsageDuty::LeaseTable, UsageDuty::LeaseKey);
  Bed.advance(3s);
  REQUIRE(Bed.awaitHolder());
  CHECK(Bed.holder()->Reporter->duty().token() > Token);
  Bed.advance(20s);
}
