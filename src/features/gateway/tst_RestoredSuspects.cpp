#include "gateway/MemberCodec.h"
#include "gateway/MemberRegistry.h"
#include "gateway/SuspectRegistry.h"
#include "gateway/SuspectRow.h"
#include "gateway/TestPlatform.h"
#include "tables/FakeTables.h"

#include "testing/TestLoop.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// Within which rows must be back after the return of the store.
constexpr Clock::duration ReturnTime = 2s;

const CrashObservation Seen{"0123456789abcdef0123456789abcdef", "77", 12s,
                            12500ms};

GatewaySettings settingsOf(const std::string &Name) {
  GatewaySettings Settings = testSettings();
  Settings.Name = Name;
  return Settings;
}

/// An instance that reads the whole member table and writes suspicions.
struct Watcher {
  Watcher(TestLoop &Loop, FakeTables &Tables, const std::string &Name)
      : Loop(Loop), State(settingsOf(Name)), Store(Tables.tables()),
        Suspects(Loop.context(), this->State, this->Store) {
    this->Store.Commit = [this, &Tables](std::vector<TableWrite> Writes)
        -> asio::awaitable<Outcome<StoreVersion>> {
      ++this->Commits;
      co_return co_await Tables.tables().Commit(std::move(Writes));
    };
  }
  void read() {
    this->Loop.spawn([this]() -> asio::awaitable<void> {
      const auto Rows = co_await this->Store.ReadTable(MemberRegistry::Table);
      this->Members.applySnapshot(*Rows);
      this->Suspects.applySnapshot(*Rows);
    });
  }
  void readChanges(StoreVersion After) {
    this->Loop.spawn([this, After]() -> asio::awaitable<void> {
      this->Suspects.applyChanges(*co_await this->Store.ReadChanges(
          MemberRegistry::Table, After, Clock::duration{0}));
    });
  }
  bool suspects() const {
    return this->State.Suspects.isSuspect(Seen.Fingerprint);
  }

  TestLoop &Loop;
  SteeringState State;
  MemberRegistry Members{this->State, "run"};
  TableStore Store;
  SuspectRegistry Suspects;
  int Commits = 0;
};

struct SuspectBed {
  ~SuspectBed() { this->Loop.advance(5s); }
  void put() {
    this->Tables.put(MemberRegistry::Table, this->Row.Key, this->Row.Value);
  }
  bool isStored() const {
    const std::string *Text =
        this->Tables.find(MemberRegistry::Table, this->Row.Key);
    return Text && !Text->empty();
  }

  const TableWrite Row = makeSuspectRow(MemberRegistry::Table, Seen);
  TestLoop Loop;
  FakeTables Tables;
};

} // namespace

// Guards against a request that crashes servers again because the store forgot
// the first crash.
TEST_CASE("A suspicion that a restored copy lacks stays and is written again",
          "[restore]") {
  SuspectBed B;
  Watcher Own(B.Loop, B.Tables, "i0");
  const auto BeforeLoss = B.Tables.copy();
  B.put();
  Own.read();
  REQUIRE(Own.suspects());
  const int Returns = GENERATE(1, 2);
  for (int Return = 0; Return < Returns; ++Return) {
    B.Tables.restore(*BeforeLoss);
    Own.read();
    CHECK(Own.suspects());
  }
  // The history of changes may be lost again before the row is back.
  Own.read();
  CHECK(Own.suspects());
  B.Loop.advance(ReturnTime);
  CHECK(B.isStored());
  Own.read();
  CHECK(Own.suspects());
  CHECK(Own.Commits <= Returns);
}

// Guards against a write of every instance for each suspicion.
TEST_CASE("Few instances write a suspicion again after the store came back",
          "[restore]") {
  constexpr int Count = 12;
  SuspectBed B;
  std::deque<Watcher> Fleet;
  for (int Index = 0; Index < Count; ++Index) {
    MemberRecord Record;
    Record.Name = "m" + std::to_string(Index);
    Record.Incarnation = "run";
    Record.Region = "z";
    Record.WrittenAt = Clock::now().time_since_epoch();
    B.Tables.put(MemberRegistry::Table, "instance/" + Record.Name,
                 encodeMember(Record));
    Fleet.emplace_back(B.Loop, B.Tables, Record.Name);
  }
  const auto BeforeLoss = B.Tables.copy();
  B.put();
  for (Watcher &Item : Fleet)
    Item.read();
  B.Tables.restore(*BeforeLoss);
  for (Watcher &Item : Fleet)
    Item.read();
  B.Loop.advance(ReturnTime);
  int Commits = 0;
  for (const Watcher &Item : Fleet) {
    CHECK(Item.suspects());
    Commits += Item.Commits;
  }
  CHECK(Commits >= 1);
  CHECK(Commits <= 3);
  CHECK(B.isStored());
}

// Guards against a suspicion that was ended and blocks a request again.
TEST_CASE("A suspicion that ended is removed again when a restored copy has it",
          "[restore]") {
  SuspectBed B;
  Watcher Own(B.Loop, B.Tables, "i0");
  Watcher Other(B.Loop, B.Tables, "i1");
  B.put();
  Own.read();
  const auto BeforeLoss = B.Tables.copy();
  B.Loop.advance(1s);
  Own.State.Answers.add(Seen.Fingerprint, Clock::now());
  Own.Suspects.recordAnswer(Seen.Fingerprint);
  B.Loop.advance(ReturnTime);
  REQUIRE_FALSE(B.isStored());
  B.Tables.restore(*BeforeLoss);
  Own.read();
  CHECK_FALSE(Own.suspects());
  B.Loop.advance(ReturnTime);
  CHECK_FALSE(B.isStored());
}

TEST_CASE("A suspicion that ends after the store came back is not written "
          "again",
          "[restore]") {
  SuspectBed B;
  Watcher Own(B.Loop, B.Tables, "i0");
  B.put();
  const auto BeforeLoss = B.Tables.copy();
  Own.read();
  B.Tables.restore(*BeforeLoss);
  Own.read();
  B.Tables.erase(MemberRegistry::Table, B.Row.Key);
  Own.readChanges({1, 1});
  CHECK_FALSE(Own.suspects());
  Own.read();
  CHECK_FALSE(Own.suspects());
  B.Loop.advance(ReturnTime);
  CHECK_FALSE(B.isStored());
}
