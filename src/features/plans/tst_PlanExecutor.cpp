#include "plans/PlanWorld.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

MoveTraffic move(PlanWorld &World) {
  return {
      "w1", "a", "b", 0.4, 0.5, 4, World.wallIn(600s), DeadlineAction::TakeBack,
      0.15};
}

double shareOf(const FleetConfig &Config) {
  return Config.Shifts.empty() ? 0 : Config.Shifts.front().Share;
}

/// Notes the shares in the order in which an instance adopted them.
std::vector<double> &noteShares(PlanWorld &World, std::vector<double> &Seen) {
  World.Fleet.OnAdopt = [&Seen](const std::string &Name,
                                const FleetConfig &Config) {
    if (Name == "i2" && (Seen.empty() || Seen.back() != shareOf(Config)))
      Seen.push_back(shareOf(Config));
  };
  return Seen;
}

void checkShares(const std::vector<double> &Seen,
                 const std::vector<double> &Wanted) {
  REQUIRE(Seen.size() == Wanted.size());
  for (std::size_t I = 0; I < Seen.size(); ++I)
    CHECK(Seen[I] == Approx(Wanted[I]).margin(1e-5));
}

} // namespace

// Guards against a move that jumps, passes its cap, or ends without a word.
TEST_CASE("A move goes up step by step and says how it ended") {
  PlanWorld World;
  std::vector<double> Seen;
  noteShares(World, Seen);
  World.hold(World.One);
  const Plan End = World.runUntilEnded(World.start(move(World)), 600s);
  CHECK(End.State == PlanState::Finished);
  checkShares(Seen, {0, 0.1, 0.2, 0.3, 0.4});
  CHECK(End.Result.find("40% of w1 is served in b") != std::string::npos);
  CHECK(World.Store.Rows.count("plan_targets/traffic/w1") == 0);
}

// Guards against a step that begins while some instance still uses a
// configuration of two steps before. The silent instance refuses keyed
// requests after the proof time only.
TEST_CASE("A step waits for the barrier of the one before") {
  PlanWorld World;
  World.hold(World.One);
  World.Fleet.ProofTime = 100s;
  const std::string Id = World.start(move(World));
  World.advance(2s);
  World.Fleet.Silent = {"i4"};
  // The second step is due at 30 s, the third at 60 s.
  World.advance(90s);
  CHECK(World.plan(Id).StepsDone == 2);
  CHECK(World.One.Executor.waitingFor(Id) == "waits for i4");
  World.advance(45s);
  CHECK(World.plan(Id).StepsDone == 3);
}

// Guards against a move into a region that is nearly full, or whose
// measurements have stopped, and against a pause that never ends.
TEST_CASE("A move pauses below 20% headroom and goes on when it is back") {
  for (const bool Stale : {false, true}) {
    PlanWorld World;
    World.hold(World.One);
    const std::string Id = World.start(move(World));
    World.advance(10s);
    REQUIRE(World.plan(Id).StepsDone == 1);
    RegionLoad &Target = World.Fleet.Regions[1];
    Target.Load = Stale ? 100 : 330;
    Target.Age = Stale ? 60s : 0s;
    World.advance(100s);
    CHECK(World.plan(Id).StepsDone == 1);
    CHECK(World.plan(Id).State == PlanState::Paused);
    Target.Load = 319;
    Target.Age = 0s;
    World.advance(8s);
    CHECK(World.plan(Id).StepsDone == 2);
    CHECK(World.runUntilEnded(Id, 600s).State == PlanState::Finished);
  }
}

// Guards against a plan that stays half done for ever, and against a take-back
// that moves more at once than its cap.
TEST_CASE("At the deadline a move is taken back step by step, or stopped") {
  for (const bool Stops : {false, true}) {
    PlanWorld World;
    std::vector<double> Seen;
    noteShares(World, Seen);
    World.hold(World.One);
    MoveTraffic Wish = move(World);
    Wish.Deadline = World.wallIn(200s);
    Wish.AtDeadline = Stops ? DeadlineAction::Stop : DeadlineAction::TakeBack;
    const std::string Id = World.start(Wish);
    World.advance(80s);
    REQUIRE(World.plan(Id).StepsDone == 3);
    // Short of headroom until the deadline.
    World.Fleet.Regions[1].Load = 390;
    const Plan End = World.runUntilEnded(Id, 150s);
    CHECK(World.Fleet.wallNow() >= Wish.Deadline);
    CHECK(End.State == (Stops ? PlanState::Stopped : PlanState::TakenBack));
    CHECK(End.Result.find("deadline") != std::string::npos);
    if (Stops)
      checkShares(Seen, {0, 0.1, 0.2, 0.3});
    else
      checkShares(Seen, {0, 0.1, 0.2, 0.3, 0.15, 0});
  }
}

// Guards against a finished move that cannot be undone, or not down to zero.
TEST_CASE("A finished move is undone by a move to the old share") {
  PlanWorld World;
  World.hold(World.One);
  World.runUntilEnded(World.start(move(World)), 600s);
  MoveTraffic Back = move(World);
  Back.Share = 0;
  const std::string Id = World.start(Back);
  CHECK(World.plan(Id).StartShare == Approx(0.4));
  CHECK(World.runUntilEnded(Id, 600s).State == PlanState::Finished);
  CHECK(World.Fleet.current().Shifts.empty());
}

// Guards against a drain that is reported as done while requests run, and
// against new work more than 5 s after the confirmation (P11).
TEST_CASE("A drain ends when the server is empty") {
  PlanWorld World;
  World.hold(World.One);
  World.Fleet.Running["s1"] = 3;
  const std::string Id = World.start(DrainServer{"s1", false, 60s});
  World.advance(5s);
  for (const std::string &Name : World.names())
    CHECK(findServer(World.Fleet.adopted(Name), "s1")->Draining);
  CHECK(World.plan(Id).State == PlanState::Running);
  CHECK(World.One.Executor.waitingFor(Id) == "3 requests still run on it");
  World.Fleet.Running["s1"] = 0;
  World.advance(1s);
  CHECK(World.plan(Id).State == PlanState::Finished);
  CHECK(World.plan(Id).Result.find("Server s1 is empty after") == 0);
  World.runUntilEnded(World.start(DrainServer{"s1", true, 60s}), 10s);
  CHECK_FALSE(findServer(World.Fleet.current(), "s1")->Draining);
}

// Guards against a drain that waits for ever, or ends without its reason.
TEST_CASE("A drain that cannot end says why") {
  PlanWorld World;
  World.hold(World.One);
  World.Fleet.Running["s1"] = 2;
  const std::string Busy = World.start(DrainServer{"s1", false, 60s});
  Plan End = World.runUntilEnded(Busy, 70s);
  CHECK(End.State == PlanState::Stopped);
  CHECK(End.Result.find("2 requests still run on it") != std::string::npos);
  // Without reports nothing says that the server is empty.
  const std::string Mute = World.start(DrainServer{"s2", false, 60s});
  End = World.runUntilEnded(Mute, 70s);
  CHECK(End.State == PlanState::Stopped);
  CHECK(End.Result.find("no owner reports") != std::string::npos);
  const std::string Taken = World.start(DrainServer{"s3", false, 60s});
  World.ask([&] { return World.Two.Plans.takeBack(Taken, "ann", "needed"); });
  CHECK(World.runUntilEnded(Taken, 20s).State == PlanState::TakenBack);
  CHECK_FALSE(findServer(World.Fleet.current(), "s3")->Draining);
}

// Guards against a plan that fights with somebody else's later change.
TEST_CASE("A move whose share was overwritten stops") {
  PlanWorld World;
  World.hold(World.One);
  const std::string Id = World.start(move(World));
  World.advance(10s);
  FleetConfig Next = World.Fleet.current();
  Next.Shifts.front().Share = 0.05;
  Next.Version += 1;
  World.Fleet.replace(Next);
  const Plan End = World.runUntilEnded(Id, 60s);
  CHECK(End.State == PlanState::Stopped);
  CHECK(End.Result.find("replaced") != std::string::npos);
  CHECK(shareOf(World.Fleet.current()) == 0.05);
}

// Guards against a change that counts as in force before it is, and a result
// that hides who has not confirmed.
TEST_CASE("An immediate change is finished when it is in force everywhere") {
  PlanWorld World;
  World.hold(World.One);
  World.Fleet.Silent = {"i3", "i5"};
  const std::string Id = World.start(SetRate{"w1", 50, 10});
  World.advance(2s);
  CHECK(World.plan(Id).State == PlanState::Running);
  CHECK(World.One.Executor.waitingFor(Id) == "waits for i3, i5");
  World.advance(4s);
  CHECK(World.plan(Id).State == PlanState::Finished);
}
