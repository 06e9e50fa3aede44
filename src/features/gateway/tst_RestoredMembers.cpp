#include "gateway/FleetTestBed.h"
#include "gateway/MemberCodec.h"
#include "gateway/MemberRegistry.h"
#include "gateway/TestPlatform.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// Within which rows must be back after the return of the store.
constexpr Clock::duration ReturnTime = 2s;

/// A fleet whose store comes back from a copy.
struct RestoredFleet : FleetTestBed {
  explicit RestoredFleet(std::size_t Count) : FleetTestBed(Count) {
    // A reader that asks again at once would never let the clock advance.
    this->Tables.ReadTime = 10ms;
    this->advance(4s);
  }
  MemberRecord stored(std::size_t Instance) const {
    return *decodeMember(*this->Tables.find(
        MemberRegistry::Table, "instance/i" + std::to_string(Instance)));
  }
  /// Waits until the instances have just written their rows.
  void awaitWrites() {
    const std::uint64_t Before = this->stored(0).Sequence;
    while (this->stored(0).Sequence == Before)
      this->advance(10ms);
  }
  void restore(const FakeTables::Copy &From) {
    this->Tables.Down = true;
    this->advance(100ms);
    this->Tables.restore(From);
    this->Tables.Down = false;
    this->ReturnedAt = Clock::now();
  }

  Clock::time_point ReturnedAt{};
};

/// The registry of the instance i0, and whole reads of the member table that
/// the test composes.
struct Reader {
  Reader() {
    // Long before the records, so that they do not stay for lack of contact
    // with the store.
    this->readAll({}, 50s);
  }

  static TableRow row(const MemberRecord &Record, StoreVersion Version) {
    return {"instance/" + Record.Name, encodeMember(Record), Version, false};
  }
  /// An instance in service whose row was written at \p WrittenAt.
  static MemberRecord record(const std::string &Name, const std::string &Run,
                             std::uint64_t Sequence,
                             Clock::duration WrittenAt) {
    MemberRecord Record;
    Record.Name = Name;
    Record.Incarnation = Run;
    Record.Sequence = Sequence;
    Record.Zone = "z-a";
    Record.Region = "z";
    Record.Address = "127.0.0.1:1";
    Record.WrittenAt = WrittenAt;
    return Record;
  }
  TableRows rows(const std::vector<MemberRecord> &Records,
                 Clock::duration Time) {
    TableRows Result;
    Result.Version = {this->Era, ++this->Number};
    Result.StoreTime = Time;
    for (const MemberRecord &Record : Records)
      Result.Rows.push_back(row(Record, Result.Version));
    return Result;
  }
  void readAll(const std::vector<MemberRecord> &Records, Clock::duration Time) {
    this->Registry.applySnapshot(this->rows(Records, Time));
  }
  void readChanges(const std::vector<MemberRecord> &Records,
                   Clock::duration Time) {
    this->Registry.applyChanges(this->rows(Records, Time));
  }
  void readRemoval(const std::string &Name, Clock::duration Time) {
    TableRows Rows = this->rows({}, Time);
    Rows.Rows.push_back({"instance/" + Name, "", Rows.Version, true});
    this->Registry.applyChanges(Rows);
  }
  /// The store came back from a copy with \p Records.
  void restore(const std::vector<MemberRecord> &Records, Clock::duration Time) {
    ++this->Era;
    this->readAll(Records, Time);
  }
  bool isInService(const std::string &Name) const {
    const auto Names = this->State.Members.inService();
    return std::find(Names.begin(), Names.end(), Name) != Names.end();
  }

  std::uint64_t Era = 0;
  std::uint64_t Number = 40;
  SteeringState State{testSettings()};
  MemberRegistry Registry{this->State, "run"};
};

const MemberRecord Known = Reader::record("i1", "a", 3, 100s);

} // namespace

// Guards against rows that are only written at their next period: for that time
// the store has rows that have expired, and instances that start meanwhile take
// their writers for gone.
TEST_CASE("Instances write their rows soon after the store came back from an "
          "older copy, and not all at once",
          "[restore]") {
  RestoredFleet B(6);
  B.Tables.IgnoreEraOfWrites = GENERATE(false, true);
  B.awaitWrites();
  const auto BeforeLoss = B.Tables.copy();
  B.advance(2s);
  B.awaitWrites();
  B.restore(*BeforeLoss);
  const int CallsBefore = B.Tables.Calls;
  B.advance(ReturnTime);
  std::set<Clock::duration> Times;
  for (std::size_t Index = 0; Index < B.Instances.size(); ++Index) {
    const MemberRecord Row = B.stored(Index);
    CAPTURE(Index, (Row.WrittenAt - B.ReturnedAt.time_since_epoch()) / 1ms);
    CHECK(Row.WrittenAt >= B.ReturnedAt.time_since_epoch());
    Times.insert(Row.WrittenAt);
  }
  CHECK(Times.size() > 1);
  // A failed call and a whole read for each of three tables, their usual reads
  // within the time, and a row that is written at the second attempt.
  CHECK(B.Tables.Calls - CallsBefore <= 20 * int(B.Instances.size()));
}

TEST_CASE("Instances write their rows once after the store came back from an "
          "older copy",
          "[restore]") {
  RestoredFleet B(3);
  B.awaitWrites();
  const auto BeforeLoss = B.Tables.copy();
  B.awaitWrites();
  const std::uint64_t Before = B.stored(1).Sequence;
  B.restore(*BeforeLoss);
  B.advance(ReturnTime);
  CHECK(B.stored(1).Sequence == Before + 1);
}

// Guards against a second return that is taken for the first one.
TEST_CASE("Instances write their rows after each of two returns from older "
          "copies",
          "[restore]") {
  RestoredFleet B(3);
  B.awaitWrites();
  const auto BeforeLoss = B.Tables.copy();
  B.awaitWrites();
  for (int Return = 0; Return < 2; ++Return) {
    B.restore(*BeforeLoss);
    B.advance(ReturnTime);
    for (std::size_t Index = 0; Index < B.Instances.size(); ++Index)
      CHECK(B.stored(Index).WrittenAt >= B.ReturnedAt.time_since_epoch());
    B.advance(400ms);
  }
}

// Guards against an instance that others drop from look-ups, and whose share of
// a rate they give away while it uses it, because the copy lacks its row.
TEST_CASE("An instance whose row the restored copy lacks stays known for the "
          "lifetime of the row",
          "[restore]") {
  Reader B;
  B.readAll({Known, Reader::record("i2", "b", 1, 100s)}, 100s);
  REQUIRE(B.State.Members.shareHolderCount() == 3);
  const int Returns = GENERATE(1, 2);
  for (int Return = 0; Return < Returns; ++Return)
    B.restore({Reader::record("i2", "b", 1, 100s)}, 101s + Return * 1s);
  CHECK(B.isInService("i1"));
  CHECK(B.State.Members.shareHolderCount() == 3);
  // The history of changes may be lost again before the row is back.
  B.readAll({Reader::record("i2", "b", 1, 100s)}, 104s);
  CHECK(B.isInService("i1"));
  B.readChanges({}, 100s + MemberView::RecordLifetime);
  CHECK_FALSE(B.isInService("i1"));
  CHECK(B.State.Members.shareHolderCount() == 1);
}

TEST_CASE("An instance whose row the restored copy has in an older version "
          "stays known by its newer row",
          "[restore]") {
  Reader B;
  B.readAll({Known}, 100s);
  const bool SameRun = GENERATE(true, false);
  const MemberRecord Older =
      Reader::record("i1", SameRun ? "a" : "former", 2, 92s);
  B.restore({Older}, 101s);
  CHECK(B.State.Members.records().at("i1").WrittenAt == 100s);
  CHECK(B.isInService("i1"));
  SECTION("also when the copy is read again") {
    --B.Number;
    B.readAll({Older}, 102s);
    CHECK(B.State.Members.records().at("i1").WrittenAt == 100s);
  }
  SECTION("a row that is written in the new era is adopted") {
    B.readChanges({Reader::record("i1", "later", 1, 102s)}, 102s);
    CHECK(B.State.Members.records().at("i1").Incarnation == "later");
  }
  SECTION("a removal in the new era is adopted") {
    B.readRemoval("i1", 102s);
    CHECK_FALSE(B.isInService("i1"));
    B.readAll({}, 103s);
    CHECK_FALSE(B.isInService("i1"));
  }
}

// Guards against an instance that left and is named to callers again.
TEST_CASE("An instance that left does not return with an older row of the "
          "restored copy",
          "[restore]") {
  Reader B;
  B.readAll({Known}, 100s);
  const int Returns = GENERATE(1, 2);
  bool Removed = false;
  SECTION("its row says that it is leaving") {
    MemberRecord Leaving = Reader::record("i1", "a", 4, 101s);
    Leaving.Leaving = true;
    B.readChanges({Leaving}, 101s);
  }
  SECTION("its row was removed") {
    B.readRemoval("i1", 101s);
    Removed = true;
  }
  REQUIRE_FALSE(B.isInService("i1"));
  for (int Return = 0; Return < Returns; ++Return)
    B.restore({Known}, 101s + Return * 1s);
  CHECK_FALSE(B.isInService("i1"));
  CHECK(B.State.Members.shareHolderCount() == (Removed ? 1 : 2));
  // A later run of it counts.
  B.readChanges({Reader::record("i1", "later", 1, 104s)}, 104s);
  CHECK(B.isInService("i1"));
}

// Guards against a second secret: instances that know the former one could not
// be reached by those that start later.
TEST_CASE("The secret of the links that a restored copy lacks is written again",
          "[restore]") {
  RestoredFleet B(3);
  const std::string Secret = *B.Tables.find(MemberRegistry::Table, "secret");
  FakeTables::Copy BeforeSecret = *B.Tables.copy();
  BeforeSecret.Tables[MemberRegistry::Table].erase("secret");
  const int Returns = GENERATE(1, 2);
  for (int Return = 0; Return < Returns; ++Return) {
    B.restore(BeforeSecret);
    B.advance(ReturnTime);
    const std::string *Written = B.Tables.find(MemberRegistry::Table, "secret");
    REQUIRE(Written);
    CHECK(*Written == Secret);
  }
  for (const auto &Instance : B.Instances)
    CHECK(Instance->state().PeerSecret == Secret);
}

// Guards against a second secret that an instance wrote which had not read the
// first one.
TEST_CASE("A secret of the links that is known is kept and replaces another "
          "one of a new era",
          "[restore]") {
  RestoredFleet B(3);
  const std::string Secret = *B.Tables.find(MemberRegistry::Table, "secret");
  const auto BeforeLoss = B.Tables.copy();
  B.Tables.Down = true;
  B.advance(100ms);
  B.Tables.restore(*BeforeLoss);
  B.Tables.put(MemberRegistry::Table, "secret", "another");
  B.Tables.Down = false;
  B.advance(ReturnTime);
  for (const auto &Instance : B.Instances)
    CHECK(Instance->state().PeerSecret == Secret);
  CHECK(*B.Tables.find(MemberRegistry::Table, "secret") == Secret);
}
