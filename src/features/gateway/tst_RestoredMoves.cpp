#include "gateway/MemberCodec.h"
#include "gateway/MemberRegistry.h"
#include "gateway/MoveCoordinator.h"
#include "gateway/TestPlatform.h"
#include "tables/FakeTables.h"

#include "testing/TestLoop.h"

#include <catch2/catch.hpp>

#include <deque>
#include <vector>

using namespace rr;
using namespace std::chrono_literals;

namespace {

constexpr const char *MoveKey = "move/stock";
using Phase = VersionMove::Phase;
/// Later than the clock, so that no stage of a move is over.
constexpr Clock::duration Start = 1000000s;

GatewaySettings settingsOf(const std::string &Name) {
  GatewaySettings Settings = testSettings();
  Settings.Name = Name;
  return Settings;
}

VersionMove moveTo(const std::string &Target, Phase State, double Share,
                   Clock::duration StartedAt, Clock::duration StageStartedAt) {
  VersionMove Move;
  Move.Service = "stock";
  Move.Target = Target;
  Move.State = State;
  Move.Baseline = {"v1"};
  Move.Share = Share;
  Move.StartedAt = StartedAt;
  Move.StageStartedAt = StageStartedAt;
  Move.Duration = 60s;
  return Move;
}

const VersionMove Begun =
    moveTo("v2", Phase::Running, 0.05, Start + 100s, Start + 100s);
const VersionMove Advanced =
    moveTo("v2", Phase::Running, 0.25, Start + 100s, Start + 110s);
const VersionMove Done =
    moveTo("v2", Phase::Completed, 1, Start + 100s, Start + 120s);
const VersionMove Bad =
    moveTo("v2", Phase::RolledBack, 0, Start + 100s, Start + 105s);

/// An instance that reads the whole member table and writes moves.
struct Mover {
  Mover(TestLoop &Loop, FakeTables &Tables, const PlatformCodec &Codec,
        const std::string &Name)
      : Loop(Loop), State(settingsOf(Name)), Store(Tables.tables()),
        Coordinator(this->State, this->Registry, this->Store, Codec) {
    this->Store.Commit = [this, &Tables](std::vector<TableWrite> Writes)
        -> asio::awaitable<Outcome<StoreVersion>> {
      ++this->Commits;
      co_return co_await Tables.tables().Commit(std::move(Writes));
    };
    this->State.Versions["stock"].setOrder({"stock", "v2", 60s}, {"v1", "v2"});
  }
  void read() {
    this->Loop.spawn([this]() -> asio::awaitable<void> {
      this->Registry.applySnapshot(
          *co_await this->Store.ReadTable(MemberRegistry::Table));
    });
  }
  void readChanges(StoreVersion After) {
    this->Loop.spawn([this, After]() -> asio::awaitable<void> {
      this->Registry.applyChanges(*co_await this->Store.ReadChanges(
          MemberRegistry::Table, After, Clock::duration{0}));
    });
  }
  void advanceMoves() {
    this->Loop.spawn([this]() -> asio::awaitable<void> {
      co_await this->Coordinator.advanceMoves();
    });
  }
  const VersionMove &known() const {
    return *this->State.Versions.at("stock").move();
  }
  bool avoids(const std::string &Version) {
    return this->State.Versions.at("stock")
               .choose("a", Clock::now())
               .Avoided.count(Version) > 0;
  }

  TestLoop &Loop;
  SteeringState State;
  MemberRegistry Registry{this->State, "run"};
  TableStore Store;
  MoveCoordinator Coordinator;
  int Commits = 0;
};

struct MoveBed {
  void put(const VersionMove &Move) {
    this->Tables.put(MemberRegistry::Table, MoveKey, encodeVersionMove(Move));
  }
  std::optional<VersionMove> stored() const {
    const std::string *Text = this->Tables.find(MemberRegistry::Table, MoveKey);
    return Text ? std::optional(*decodeVersionMove(*Text)) : std::nullopt;
  }
  /// Lets the instance know \p Move, which the copy lacks.
  std::shared_ptr<const FakeTables::Copy> learn(const VersionMove &Move) {
    const auto BeforeLoss = this->Tables.copy();
    this->put(Move);
    this->Own.read();
    return BeforeLoss;
  }
  bool hasStatus() const { return this->Tables.find("status", "stock"); }

  TestLoop Loop;
  FakeTables Tables;
  TestConfigurations Configs;
  PlatformCodec Codec = testCodec(this->Configs);
  Mover Own{this->Loop, this->Tables, this->Codec, "i0"};
};

} // namespace

// Guards against traffic to a version that was found bad, a completed move that
// runs again, and a share that falls back, when the store comes back from an
// older copy.
TEST_CASE("A move does not fall back to its state in a restored copy, and is "
          "written again",
          "[restore]") {
  MoveBed B;
  const VersionMove Reached = GENERATE(Advanced, Done, Bad);
  const bool CopyHasMove = GENERATE(true, false);
  const int Returns = GENERATE(1, 2);
  if (CopyHasMove)
    B.put(Begun);
  const auto BeforeLoss = B.learn(Reached);
  for (int Return = 0; Return < Returns; ++Return) {
    B.Tables.restore(*BeforeLoss);
    B.Own.read();
    CHECK(B.Own.known().State == Reached.State);
    CHECK(B.Own.known().Share == Reached.Share);
  }
  // A running move sends some requests to the version.
  if (Reached.State != Phase::Running)
    CHECK(B.Own.avoids("v2") == (Reached.State == Phase::RolledBack));
  B.Own.advanceMoves();
  REQUIRE(B.stored());
  CHECK(B.stored()->State == Reached.State);
  CHECK(B.stored()->Share == Reached.Share);
  CHECK(B.stored()->StageStartedAt == Reached.StageStartedAt);
  CHECK(B.hasStatus());
  // Once is enough.
  const int Commits = B.Own.Commits;
  B.Own.read();
  B.Own.advanceMoves();
  CHECK(B.Own.Commits == Commits);
}

TEST_CASE("A move that was advanced after the store came back is adopted",
          "[restore]") {
  MoveBed B;
  B.put(Begun);
  const auto BeforeLoss = B.learn(Advanced);
  B.Tables.restore(*BeforeLoss);
  const VersionMove New =
      GENERATE(moveTo("v2", Phase::Running, 0.15, Start + 100s, Start + 115s),
               moveTo("v2", Phase::Running, 1, Start + 100s, Start + 115s),
               moveTo("v2", Phase::RolledBack, 0, Start + 100s, Start + 115s),
               moveTo("v2", Phase::Completed, 1, Start + 100s, Start + 115s));
  const bool AfterRead = GENERATE(false, true);
  if (AfterRead)
    B.Own.read();
  B.put(New);
  if (AfterRead)
    B.Own.readChanges({1, 1});
  else
    B.Own.read();
  CHECK(B.Own.known().State == New.State);
  CHECK(B.Own.known().Share == New.Share);
  B.Own.advanceMoves();
  CHECK(B.Own.Commits == 0);
}

// Guards against an instance that had not read the end of a move, and goes on
// with it when the store came back.
TEST_CASE("A move that ended is not reopened by an instance that goes on from "
          "the restored copy",
          "[restore]") {
  MoveBed B;
  B.put(Begun);
  const VersionMove Ended = GENERATE(Done, Bad);
  const auto BeforeLoss = B.learn(Ended);
  B.Tables.restore(*BeforeLoss);
  const std::vector<VersionMove> Others = {
      // The former move goes on.
      moveTo("v2", Phase::Running, 0.15, Start + 100s, Start + 130s),
      // It begins again.
      moveTo("v2", Phase::Running, 0.05, Start + 130s, Start + 130s),
      // It ends in the other way.
      moveTo("v2",
             Ended.State == Phase::Completed ? Phase::RolledBack
                                             : Phase::Completed,
             1, Start + 100s, Start + 130s)};
  const VersionMove &New = Others.at(GENERATE(0, 1, 2));
  const bool AfterRead = GENERATE(false, true);
  if (AfterRead)
    B.Own.read();
  B.put(New);
  if (AfterRead)
    B.Own.readChanges({1, 1});
  else
    B.Own.read();
  CHECK(B.Own.known().State == Ended.State);
  CHECK(B.Own.avoids("v2") == (Ended.State == Phase::RolledBack));
  B.Own.advanceMoves();
  CHECK(B.stored()->State == Ended.State);
}

// Guards against traffic to a bad version during the next move, which an
// instance begins that does not know of it.
TEST_CASE("A version that was found bad stays rejected in a move that begins "
          "after the store came back",
          "[restore]") {
  MoveBed B;
  B.put(Begun);
  const auto BeforeLoss = B.learn(Bad);
  B.Tables.restore(*BeforeLoss);
  VersionMove Next =
      moveTo("v3", Phase::Running, 0.05, Start + 130s, Start + 130s);
  Next.Baseline = {"v1", "v2"};
  B.Own.State.Versions["stock"].setOrder({"stock", "v3", 60s},
                                         {"v1", "v2", "v3"});
  B.put(Next);
  B.Own.read();
  CHECK(B.Own.known().Target == "v3");
  CHECK(B.Own.avoids("v2"));
  B.Own.advanceMoves();
  CHECK(B.stored()->Target == "v3");
  CHECK(B.stored()->Rejected.count("v2") == 1);
  CHECK(B.stored()->Baseline.count("v2") == 0);
}

// Guards against a write of every instance for each move.
TEST_CASE("Few instances write a move again after the store came back",
          "[restore]") {
  constexpr int Count = 12;
  MoveBed B;
  B.put(Begun);
  const auto BeforeLoss = B.Tables.copy();
  B.put(Done);
  std::deque<Mover> Fleet;
  for (int Index = 0; Index < Count; ++Index) {
    MemberRecord Record;
    Record.Name = "m" + std::to_string(Index);
    Record.Incarnation = "run";
    Record.Region = "z";
    Record.WrittenAt = Clock::now().time_since_epoch();
    B.Tables.put(MemberRegistry::Table, "instance/" + Record.Name,
                 encodeMember(Record));
    Fleet.emplace_back(B.Loop, B.Tables, B.Codec, Record.Name);
  }
  for (Mover &Item : Fleet)
    Item.read();
  B.Tables.restore(*BeforeLoss);
  for (Mover &Item : Fleet)
    Item.read();
  int Commits = 0;
  for (Mover &Item : Fleet) {
    Item.advanceMoves();
    Commits += Item.Commits;
  }
  CHECK(Commits >= 1);
  CHECK(Commits <= 4);
  CHECK(B.stored()->State == Phase::Completed);
}
