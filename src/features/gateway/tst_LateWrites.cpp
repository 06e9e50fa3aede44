#include "gateway/MemberCodec.h"
#include "gateway/MemberRegistry.h"
#include "gateway/OwnRowWriter.h"
#include "gateway/SuspectRegistry.h"
#include "gateway/SuspectRow.h"
#include "gateway/TestPlatform.h"
#include "tables/FakeTables.h"
#include "tables/TableWatch.h"

#include "testing/TestLoop.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

constexpr const char *RowKey = "instance/i0";

GatewaySettings settingsOf(const std::string &Name) {
  GatewaySettings Settings = testSettings();
  Settings.Name = Name;
  return Settings;
}

/// The state of an instance, which follows the member table.
struct Member {
  Member(TestLoop &Loop, FakeTables &Tables, const std::string &Name,
         const std::string &Incarnation)
      : State(settingsOf(Name)), Registry(this->State, Incarnation),
        Store(Tables.tables()),
        Watch(Loop.context(), this->Store, {MemberRegistry::Table, 2s, 2s},
              {[this](const TableRows &Rows) {
                 this->Registry.applySnapshot(Rows);
               },
               [this](const TableRows &Rows) {
                 this->Registry.applyChanges(Rows);
               },
               nullptr}),
        Writer(this->State, this->Registry, this->Store, this->Watch) {}

  SteeringState State;
  MemberRegistry Registry;
  TableStore Store;
  TableWatch Watch;
  OwnRowWriter Writer;
};

struct LateWriteBed {
  ~LateWriteBed() {
    for (Member *Item : {&this->Own, &this->Other})
      Item->Watch.stop();
    this->Loop.advance(5s);
  }

  void advance(Clock::duration Time) {
    this->Loop.advance(Time);
    for (Member *Item : {&this->Own, &this->Other})
      Item->Registry.advanceStoreTime(Clock::now());
  }
  /// Lets \p Item read the table once, then follow it.
  void follow(Member &Item) {
    this->Loop.spawn(
        [&Item]() -> asio::awaitable<void> { co_await Item.Watch.run(); });
  }
  Outcome<StoreVersion> commit(const TableWrite &Write) {
    Outcome<StoreVersion> Result = failure(Errc::Unknown);
    this->Loop.spawn([&]() -> asio::awaitable<void> {
      std::vector<TableWrite> Writes;
      Writes.push_back(Write);
      Result = co_await this->Tables.tables().Commit(std::move(Writes));
    });
    return Result;
  }
  Outcome<void> announce(Member &Item) {
    Outcome<void> Result = failure(Errc::Unknown);
    this->Loop.spawn([&]() -> asio::awaitable<void> {
      Result = co_await Item.Writer.write();
    });
    return Result;
  }
  MemberRecord stored() const {
    return *decodeMember(*this->Tables.find(MemberRegistry::Table, RowKey));
  }

  TestLoop Loop;
  FakeTables Tables;
  Member Own{this->Loop, this->Tables, "i0", "run"};
  Member Other{this->Loop, this->Tables, "i1", "other"};
};

} // namespace

// Guards against a row that the store writes seconds after newer ones: the
// other instances then take its instance for gone and choose another holder of
// the rates beside it.
TEST_CASE("A write of the own row that is executed late replaces no newer row",
          "[late]") {
  LateWriteBed Bed;
  Bed.follow(Bed.Own);
  Bed.follow(Bed.Other);
  REQUIRE(Bed.announce(Bed.Own));
  Bed.advance(2400ms);
  const TableWrite Late = Bed.Own.Registry.makeOwnRow(Clock::now());
  Bed.advance(2400ms);
  REQUIRE(Bed.announce(Bed.Own));
  Bed.advance(2400ms);
  const Clock::duration Newest = Bed.stored().WrittenAt;
  REQUIRE(decodeMember(Late.Value)->WrittenAt < Newest);

  Bed.commit(Late);
  Bed.advance(2400ms);
  CHECK(Bed.stored().WrittenAt == Newest);
  CHECK(Bed.Other.State.Members.records().at("i0").WrittenAt == Newest);
  REQUIRE(Bed.announce(Bed.Own));
}

// Guards against the same during an upgrade, when rows are still written
// without a condition.
TEST_CASE("A row that another row of the same run replaced is not adopted",
          "[late]") {
  LateWriteBed Bed;
  Bed.follow(Bed.Own);
  Bed.follow(Bed.Other);
  const TableWrite Late = Bed.Own.Registry.makeOwnRow(Clock::now());
  Bed.advance(2400ms);
  REQUIRE(Bed.announce(Bed.Own));
  Bed.advance(2400ms);
  const auto Known = [&](const Member &At) {
    return At.State.Members.records().at("i0").Sequence;
  };
  const std::uint64_t Newest = Known(Bed.Other);
  const bool ReadsInFull = GENERATE(false, true);
  Bed.Tables.put(MemberRegistry::Table, RowKey, Late.Value);
  if (ReadsInFull)
    Bed.Tables.dropHistory();
  Bed.advance(4400ms);
  CHECK(Known(Bed.Other) == Newest);
  CHECK(Known(Bed.Own) == Newest);
  // The next row is adopted again, and so is that of a later run.
  REQUIRE(Bed.announce(Bed.Own));
  Bed.advance(2400ms);
  CHECK(Known(Bed.Other) > Newest);
  MemberRecord Restarted = Bed.Own.Registry.ownRecord();
  Restarted.Incarnation = "later";
  Restarted.Sequence = 1;
  Bed.Tables.put(MemberRegistry::Table, RowKey, encodeMember(Restarted));
  Bed.advance(2400ms);
  CHECK(Known(Bed.Other) == 1);
}

// Guards against an instance that can no longer announce itself because it does
// not know the version of its row.
TEST_CASE("An instance announces itself although its row changed unnoticed",
          "[late]") {
  LateWriteBed Bed;
  Bed.follow(Bed.Own);
  REQUIRE(Bed.announce(Bed.Own));
  Bed.advance(100ms);
  SECTION("a late write of this run came first") {
    Bed.commit(Bed.Own.Registry.makeOwnRow(Clock::now()));
  }
  SECTION("an earlier run's write came first") {
    Bed.Tables.put(MemberRegistry::Table, RowKey,
                   encodeMember(Bed.Other.Registry.ownRecord()));
  }
  SECTION("the row was removed") {
    Bed.Tables.erase(MemberRegistry::Table, RowKey);
  }
  SECTION("the store has dropped the changes") {
    Bed.commit(Bed.Own.Registry.makeOwnRow(Clock::now()));
    Bed.Tables.dropHistory();
  }
  SECTION("a refresh that reads the changes is running already") {
    Bed.commit(Bed.Own.Registry.makeOwnRow(Clock::now()));
    Bed.Own.Watch.stop();
  }
  REQUIRE(Bed.announce(Bed.Own));
  CHECK(Bed.stored().Incarnation == "run");
}

// Guards against a stopping process that replaces the row of its successor.
TEST_CASE("A leaving run does not replace the row of a later run", "[late]") {
  LateWriteBed Bed;
  Bed.follow(Bed.Own);
  REQUIRE(Bed.announce(Bed.Own));
  Bed.Own.State.Leaving = true;
  MemberRecord Later = Bed.Own.Registry.ownRecord();
  Later.Incarnation = "later";
  Bed.Tables.put(MemberRegistry::Table, RowKey, encodeMember(Later));
  CHECK_FALSE(Bed.announce(Bed.Own));
  CHECK(Bed.stored().Incarnation == "later");
}

// Guards against a removal that the store executes after the request crashed
// another server, and that hides the crash from instances that start later.
TEST_CASE("The removal of a suspicion that is executed late keeps newer rows",
          "[late]") {
  LateWriteBed Bed;
  SteeringState &State = Bed.Own.State;
  const CrashObservation Seen{"0123456789abcdef0123456789abcdef", "77", 12s,
                              12500ms};
  const TableWrite Row = makeSuspectRow(MemberRegistry::Table, Seen);
  std::vector<TableWrite> Removals;
  bool Lost = true;
  TableStore Store = Bed.Tables.tables();
  Store.Commit = [&](std::vector<TableWrite> Writes)
      -> asio::awaitable<Outcome<StoreVersion>> {
    if (Lost) {
      Removals = Writes;
      co_return failure(Errc::Unknown);
    }
    co_return co_await Bed.Tables.tables().Commit(std::move(Writes));
  };
  SuspectRegistry Suspects(Bed.Loop.context(), State, Store);
  const auto Read = [&] {
    Bed.Loop.spawn([&]() -> asio::awaitable<void> {
      Suspects.applySnapshot(
          *co_await Bed.Tables.tables().ReadTable(MemberRegistry::Table));
    });
  };
  Bed.Tables.put(MemberRegistry::Table, Row.Key, Row.Value);
  Read();
  Suspects.recordAnswer(Seen.Fingerprint);
  Bed.Loop.run();
  REQUIRE(Removals.size() == 1);
  Bed.Tables.put(MemberRegistry::Table, Row.Key, Row.Value);
  Bed.commit(Removals.front());
  CHECK_FALSE(Bed.Tables.find(MemberRegistry::Table, Row.Key)->empty());
  // The retry conflicts as well and is given up.
  Lost = false;
  Bed.advance(3s);
  CHECK_FALSE(Bed.Tables.find(MemberRegistry::Table, Row.Key)->empty());
  // With the version known, the row can be removed.
  Read();
  Suspects.recordAnswer(Seen.Fingerprint);
  Bed.Loop.run();
  CHECK(Bed.Tables.find(MemberRegistry::Table, Row.Key)->empty());
}

// Guards against a resumed instance whose new row looks as old as its last
// read: the others take it for gone, while it uses its share beside them.
TEST_CASE("An instance that was suspended writes the present store time",
          "[late]") {
  LateWriteBed Bed;
  Bed.follow(Bed.Own);
  Bed.Tables.put(MemberRegistry::Table, "instance/i2",
                 encodeMember(Bed.Other.Registry.ownRecord()));
  REQUIRE(Bed.announce(Bed.Own));
  Bed.advance(2400ms);
  REQUIRE(Bed.announce(Bed.Own));
  const TableRows Unread{{}, {0, 100}, Clock::now().time_since_epoch()};
  // Nothing runs meanwhile.
  Clock::advance(5s);
  SECTION("the row is written first") {}
  SECTION("an answer is read that arrived before") {
    Bed.Own.Registry.applyChanges(Unread);
  }
  Bed.Own.Registry.advanceStoreTime(Clock::now());
  REQUIRE(Bed.announce(Bed.Own));
  CHECK(Bed.stored().WrittenAt == Clock::now().time_since_epoch());
}

// Guards against an instance that uses its share at once after the store turned
// it away, because it takes the others for gone by its outdated view.
TEST_CASE(
    "An instance that was turned away reads who went on without it before "
    "it writes its row",
    "[late]") {
  LateWriteBed Bed;
  Bed.follow(Bed.Other);
  Bed.follow(Bed.Own);
  for (int Write = 0; Write < 3; ++Write) {
    REQUIRE(Bed.announce(Bed.Other));
    REQUIRE(Bed.announce(Bed.Own));
    Bed.advance(2400ms);
  }
  Bed.Own.Watch.stop();
  const std::uint64_t Tenure = Bed.Own.State.QuotaParticipation.tenure();
  for (int Write = 0; Write < 4; ++Write) {
    Bed.advance(2400ms);
    REQUIRE(Bed.announce(Bed.Other));
  }
  Bed.advance(100ms);
  REQUIRE(Bed.announce(Bed.Own));
  const ShareEligibility &Share = Bed.Own.State.QuotaParticipation;
  CHECK(Share.tenure() != Tenure);
  CHECK(Share.wasRedistributed());
  CHECK_FALSE(Share.mayUseShare(Clock::now()));
  CHECK(Share.mayUseShare(Clock::now() + 2300ms));
}

// Guards against an instance that waits for others who did not go on without
// it, so that nobody serves for seconds after an outage of the store.
TEST_CASE("After an outage for all an instance uses its share at once",
          "[late]") {
  LateWriteBed Bed;
  Bed.follow(Bed.Other);
  Bed.follow(Bed.Own);
  for (int Write = 0; Write < 3; ++Write) {
    REQUIRE(Bed.announce(Bed.Other));
    REQUIRE(Bed.announce(Bed.Own));
    Bed.advance(2400ms);
  }
  const ShareEligibility &Share = Bed.Own.State.QuotaParticipation;
  const std::uint64_t Tenure = Share.tenure();
  Bed.Tables.Down = true;
  Bed.advance(8s);
  REQUIRE_FALSE(Share.mayUseShare(Clock::now()));
  Bed.Tables.Down = false;
  REQUIRE(Bed.announce(Bed.Own));
  CHECK(Share.tenure() != Tenure);
  CHECK_FALSE(Share.wasRedistributed());
  CHECK(Share.mayUseShare(Clock::now()));
}
