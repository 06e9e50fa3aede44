#include "steering/MoveRule.h"
#include "steering/VersionSteering.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const VersionOrder Order{"stock", "v2", 16s};

VersionMove moveAt(double Share) {
  VersionMove Move = beginMove(Order, std::nullopt, {"v1", "v2"}, 100s);
  Move.Share = Share;
  return Move;
}

/// Share of \p Count requests that are sent to the target.
double targetShare(VersionSteering &Steering, int Count,
                   const std::string &Route = "a") {
  int Target = 0;
  for (int Index = 0; Index < Count; ++Index)
    Target += Steering.choose(Route, Clock::now()).Only ? 1 : 0;
  return double(Target) / Count;
}

MoveEvidence evidence(Clock::duration At, double Applied, int OldInFlight = 0) {
  MoveEvidence Evidence;
  Evidence.TargetRequests = 100;
  Evidence.ReadyServers = 2;
  Evidence.Reports = {MoveReport{"v2", Applied, OldInFlight, {}}};
  Evidence.StoreTime = At;
  return Evidence;
}

} // namespace

TEST_CASE("A new version gets no requests before the move is known, and then "
          "its share",
          "[versions]") {
  VersionSteering Steering;
  Steering.updatePresentVersions({"v1"}, Clock::now());
  Steering.setOrder(Order, {"v1", "v2"});
  CHECK(Steering.choose("a", Clock::now()).Avoided.count("v2"));
  Steering.adoptMove(moveAt(0.3));
  CHECK(targetShare(Steering, 400) == Approx(0.3).margin(0.02));
}

// Guards against an instance that starts during a move, reads the order before
// the servers, and then sends no requests to any version for seconds.
TEST_CASE("The old version is used when the order is known before the servers",
          "[versions]") {
  VersionSteering Steering;
  Steering.setOrder(Order, {});
  Steering.updatePresentVersions({}, Clock::now());
  Steering.updatePresentVersions({"v1", "v2"}, Clock::now());
  const auto Choice = Steering.choose("a", Clock::now());
  CHECK_FALSE(Choice.Avoided.count("v1"));
  CHECK(Choice.Avoided.count("v2"));
}

TEST_CASE("A version that appears without an order waits for one",
          "[versions]") {
  Clock::pause();
  VersionSteering Steering;
  Steering.updatePresentVersions({"v1"}, Clock::now());
  Steering.updatePresentVersions({"v1", "v2"}, Clock::now());
  CHECK(Steering.choose("a", Clock::now()).Avoided.count("v2"));
  Clock::advance(4s);
  CHECK(Steering.choose("a", Clock::now()).Avoided.count("v2"));
  Clock::advance(3s);
  CHECK_FALSE(Steering.choose("a", Clock::now()).Avoided.count("v2"));
  Clock::resume();
}

TEST_CASE("A rare route gets enough of the new version to be judged while the "
          "share is small",
          "[versions]") {
  VersionSteering Steering;
  Steering.setOrder(Order, {"v1", "v2"});
  Steering.adoptMove(moveAt(0.05));
  int Rare = 0;
  int Common = 0;
  for (int Index = 0; Index < 1000; ++Index) {
    Common += Steering.choose("common", Clock::now()).Only ? 1 : 0;
    if (Index % 20 == 0)
      Rare += Steering.choose("rare", Clock::now()).Only ? 1 : 0;
  }
  CHECK(Rare >= 15);
  CHECK(Rare + Common <= 100);
}

TEST_CASE("Failures stop a bad version at this instance at once",
          "[versions]") {
  VersionSteering Steering;
  Steering.setOrder(Order, {"v1", "v2"});
  Steering.adoptMove(moveAt(0.3));
  for (int Index = 0; Index < 100; ++Index)
    Steering.record("a", "v1", false, false, Clock::now());
  int Bad = 0;
  while (!Steering.isStopped() && Bad < 50) {
    Steering.record("a", "v2", Bad % 2 == 0, false, Clock::now());
    ++Bad;
  }
  CHECK(Bad <= 12);
  CHECK(targetShare(Steering, 100) == 0);
}

TEST_CASE("Counts of several instances together stop a bad version",
          "[versions]") {
  VersionSteering Steering;
  Steering.setOrder(Order, {"v1", "v2"});
  Steering.adoptMove(moveAt(0.05));
  for (int Index = 0; Index < 100; ++Index)
    Steering.record("a", "v1", false, false, Clock::now());
  bool Stopped = false;
  for (int Instance = 0; Instance < 8 && !Stopped; ++Instance) {
    MoveReport Report{"v2", 0.05, 0, {}};
    Report.Stats.Plan = "v2";
    Report.Stats.Counts[{"a", "v2"}] = {2, 1, 0};
    Report.Stats.Counts[{"a", "stable"}] = {40, 0, 0};
    Stopped =
        Steering.observe("i" + std::to_string(Instance), Report, Clock::now());
  }
  CHECK(Stopped);
}

TEST_CASE("A good version that fails no more than the old one goes on",
          "[versions]") {
  VersionSteering Steering;
  Steering.setOrder(Order, {"v1", "v2"});
  Steering.adoptMove(moveAt(0.3));
  for (int Index = 0; Index < 600; ++Index) {
    Steering.record("a", "v1", Index % 50 == 0, false, Clock::now());
    if (Index % 3 == 0)
      Steering.record("a", "v2", Index % 150 == 0, false, Clock::now());
  }
  CHECK_FALSE(Steering.isStopped());
}

TEST_CASE("A move grows by stages and is over only when every instance has "
          "finished its requests at the old version",
          "[versions]") {
  VersionMove Move = moveAt(0.05);
  CHECK_FALSE(advanceMove(Move, evidence(103s, 0.05)));
  auto Next = advanceMove(Move, evidence(104s, 0.05));
  REQUIRE(Next);
  CHECK(Next->Share == Approx(0.15));
  // A stage lasts long enough for its slow answers to arrive.
  CHECK_FALSE(advanceMove(*Next, evidence(106s, 0.15)));
  Next = advanceMove(*Next, evidence(107s, 0.15));
  REQUIRE(Next);
  CHECK(Next->Share == Approx(0.25));
  CHECK_FALSE(advanceMove(*Next, evidence(109s, 0.25)));
  Next = advanceMove(*Next, evidence(110s, 0.25));
  REQUIRE(Next);
  CHECK(Next->Share == 1);
  CHECK_FALSE(advanceMove(*Next, evidence(112s, 1, 3)));
  CHECK_FALSE(advanceMove(*Next, evidence(112s, 0.25)));
  Next = advanceMove(*Next, evidence(112s, 1));
  REQUIRE(Next);
  CHECK(Next->State == VersionMove::Phase::Completed);
}

TEST_CASE("A bad version is rolled back in any stage", "[versions]") {
  for (const double Share : {0.05, 0.3, 1.0}) {
    MoveEvidence Evidence = evidence(100s, Share);
    Evidence.TargetBad = true;
    const auto Next = advanceMove(moveAt(Share), Evidence);
    REQUIRE(Next);
    CHECK(Next->State == VersionMove::Phase::RolledBack);
  }
}

TEST_CASE("A version whose move was rolled back or replaced is rejected in the "
          "next one",
          "[versions]") {
  VersionMove Before = moveAt(0.3);
  const VersionOrder Second{"stock", "v3", 16s};
  CHECK(
      beginMove(Second, Before, {"v1", "v2", "v3"}, 120s).Rejected.count("v2"));
  Before.State = VersionMove::Phase::Completed;
  CHECK_FALSE(
      beginMove(Second, Before, {"v2", "v3"}, 120s).Rejected.count("v2"));
}

TEST_CASE("The shared state of a move survives its encoding, and other text is "
          "refused",
          "[versions]") {
  const VersionMove Move = moveAt(0.3);
  const auto Read = decodeVersionMove(encodeVersionMove(Move));
  REQUIRE(Read);
  CHECK(Read->Baseline == Move.Baseline);
  CHECK(Read->StageStartedAt == Move.StageStartedAt);
  CHECK_FALSE(decodeVersionMove("{}"));
  CHECK_FALSE(decodeVersionMove("nonsense"));
  CHECK_FALSE(decodeVersionMove(R"({"phase":9})"));
}

TEST_CASE("A suspect version gets no larger share, and is rolled back if it "
          "remains suspect",
          "[versions]") {
  MoveEvidence Evidence = evidence(106s, 0.05);
  Evidence.TargetSuspect = true;
  CHECK_FALSE(advanceMove(moveAt(0.05), Evidence));
  Evidence.StoreTime = 113s;
  const auto Next = advanceMove(moveAt(0.05), Evidence);
  REQUIRE(Next);
  CHECK(Next->State == VersionMove::Phase::RolledBack);
}

TEST_CASE("A version that is slower than an occasionally slow old one is "
          "suspect before it is proven bad",
          "[versions]") {
  VersionSteering Steering;
  Steering.setOrder(Order, {"v1", "v2"});
  Steering.adoptMove(moveAt(0.05));
  for (int Index = 0; Index < 50; ++Index)
    Steering.record("a", "v1", false, Index % 4 == 0, Clock::now());
  for (int Index = 0; Index < 8; ++Index)
    Steering.record("a", "v2", false, Index % 2 == 0, Clock::now());
  CHECK(Steering.isSuspect());
  CHECK_FALSE(Steering.isStopped());
}

TEST_CASE("The target of a running or rolled back move gets no requests at an "
          "instance without the order",
          "[versions]") {
  for (const auto State :
       {VersionMove::Phase::Running, VersionMove::Phase::RolledBack}) {
    VersionSteering Steering;
    Steering.updatePresentVersions({"v1", "v2"}, Clock::now());
    VersionMove Move = moveAt(0.3);
    Move.State = State;
    Steering.adoptMove(Move);
    CHECK(Steering.choose("a", Clock::now()).Avoided.count("v2"));
  }
  VersionSteering Steering;
  VersionMove Done = moveAt(1);
  Done.State = VersionMove::Phase::Completed;
  Steering.adoptMove(Done);
  CHECK_FALSE(Steering.choose("a", Clock::now()).Avoided.count("v2"));
}
