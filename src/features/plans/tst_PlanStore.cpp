#include "plans/PlanJson.h"
#include "plans/PlanRows.h"
#include "plans/PlanWorld.h"

#include "model/FleetConfigJson.h"

#include <catch2/catch.hpp>
#include <set>

using namespace rr;
using namespace std::chrono_literals;

namespace {

MoveTraffic move(PlanWorld &World, const std::string &Workspace = "w1") {
  return {Workspace,
          "a",
          "b",
          0.4,
          0.5,
          4,
          World.wallIn(600s),
          DeadlineAction::TakeBack,
          0.1};
}

SetRate rate(const std::string &Workspace) { return {Workspace, 120, 50}; }

std::string proposed(PlanWorld &World, const Intent &Wish) {
  const PlanAnswer Answer = World.propose(Wish);
  REQUIRE_FALSE(Answer.Error);
  return Answer.Current->Id;
}

PlanAnswer confirm(PlanWorld &World, const std::string &Id) {
  return World.ask([&] { return World.One.Plans.confirm(Id, "bob"); });
}

/// Starts two requests in the same moment at two instances.
std::pair<PlanAnswer, PlanAnswer>
race(PlanWorld &World, std::function<asio::awaitable<PlanAnswer>()> First,
     std::function<asio::awaitable<PlanAnswer>()> Second) {
  World.Store.Latency = 20ms;
  PlanAnswer Left;
  PlanAnswer Right;
  bool Done = false;
  World.Loop.spawn([&]() -> asio::awaitable<void> {
    Left = co_await First();
    Done = true;
  });
  Right = World.ask(std::move(Second));
  while (!Done)
    World.advance(100ms);
  return {Left, Right};
}

std::size_t countRows(const PlanWorld &World, const std::string &Prefix) {
  std::size_t Result = 0;
  for (const auto &[Key, Value] : World.Store.Rows)
    Result += Key.compare(0, Prefix.size(), Prefix) == 0;
  return Result;
}

} // namespace

// Guards against a plan that changes on its way through its row, so that the
// next lease holder goes on with something else.
TEST_CASE("A plan survives its row") {
  PlanWorld World;
  World.hold(World.One);
  const std::string Id = World.start(move(World));
  World.advance(40s);
  const Plan Current = World.plan(Id);
  REQUIRE(Current.StepsDone > 0);
  const std::string Text = formatPlan(Current).dump();
  const auto Again = parsePlan(Text);
  REQUIRE(Again);
  CHECK(formatPlan(*Again).dump() == Text);
  CHECK_FALSE(parsePlan("{}"));
  CHECK_FALSE(parsePlan("["));
}

// Guards against two writes of one moment that get the same audit entry, so
// that the second is refused for no reason.
TEST_CASE("Audit entries of one moment have different keys") {
  const WallTime Now{1'800'000'000s};
  std::set<std::string> Keys;
  for (int I = 0; I < 2000; ++I)
    Keys.insert(newAuditKey(Now));
  CHECK(Keys.size() == 2000);
  CHECK(*Keys.rbegin() < newAuditKey(Now + 1ms));
}

// Guards against a change that happens before the operator has confirmed it.
TEST_CASE("A proposal changes nothing") {
  PlanWorld World;
  World.hold(World.One);
  const std::string Id = proposed(World, rate("w1"));
  World.advance(10s);
  CHECK(World.Fleet.current().Version == 10);
  CHECK(World.plan(Id).State == PlanState::Proposed);
}

// Guards against a confirmed plan that was worked out for another fleet. Also
// a change elsewhere counts, because the forecast rests on the whole.
TEST_CASE("A plan of an old configuration is refused with what changed") {
  PlanWorld World;
  const std::string Late = proposed(World, rate("w1"));
  World.start(rate("w2"));
  World.advance(1s);
  const PlanAnswer Answer = confirm(World, Late);
  CHECK(Answer.Error == Errc::Conflict);
  REQUIRE(Answer.Reasons.size() == 2);
  CHECK(Answer.Reasons[0].find("from configuration 10; now it is 11") !=
        std::string::npos);
  CHECK(Answer.Reasons[1] == "workspace w2 was changed");
  CHECK(World.plan(Late).State == PlanState::Refused);
  CHECK_FALSE(World.plan(Late).Result.empty());
}

// Guards against two operators who both get their way although each decided
// without the other's change.
TEST_CASE("Racing confirms of one plan have one winner") {
  PlanWorld World;
  const std::string Id = proposed(World, rate("w1"));
  const auto [Left, Right] = race(
      World, [&] { return World.One.Plans.confirm(Id, "ann"); },
      [&] { return World.Two.Plans.confirm(Id, "bob"); });
  CHECK(!Left.Error != !Right.Error);
  CHECK((Left.Error ? Left : Right).Error == Errc::Conflict);
  CHECK_FALSE((Left.Error ? Left : Right).Reasons.empty());
  CHECK(World.Fleet.current().Version == 11);
}

TEST_CASE("Racing confirms of two plans from one version have one winner") {
  PlanWorld World;
  const std::string First = proposed(World, move(World, "w1"));
  const std::string Second = proposed(World, move(World, "w2"));
  const auto [Left, Right] = race(
      World, [&] { return World.One.Plans.confirm(First, "ann"); },
      [&] { return World.Two.Plans.confirm(Second, "bob"); });
  CHECK(!Left.Error != !Right.Error);
  CHECK((Left.Error ? Left : Right).Error == Errc::Conflict);
  CHECK_FALSE((Left.Error ? Left : Right).Reasons.empty());
}

// Guards against two take-backs that are both reported as done by the caller.
TEST_CASE("Racing take-backs have one winner") {
  PlanWorld World;
  World.hold(World.One);
  const std::string Id = World.start(move(World));
  World.advance(40s);
  const auto [Left, Right] = race(
      World, [&] { return World.One.Plans.takeBack(Id, "ann", "too slow"); },
      [&] { return World.Two.Plans.takeBack(Id, "bob", "wrong region"); });
  CHECK(!Left.Error != !Right.Error);
  CHECK((Left.Error ? Left : Right).Error == Errc::Conflict);
  const Plan End = World.runUntilEnded(Id, 120s);
  CHECK(End.State == PlanState::TakenBack);
  CHECK(World.Fleet.current().Shifts.empty());
}

// Guards against an operator who is told that a request failed although it
// took effect, or who causes it twice by asking again.
TEST_CASE("Lost answers to operators' writes are resolved") {
  for (int Lost = 1; Lost <= 2; ++Lost) {
    PlanWorld World;
    World.Store.LoseAnswers = Lost;
    const std::string Id = proposed(World, move(World));
    World.Store.LoseAnswers = Lost;
    CHECK_FALSE(confirm(World, Id).Error);
    World.Store.LoseAnswers = Lost;
    const PlanAnswer Back =
        World.ask([&] { return World.Two.Plans.takeBack(Id, "ann", "no"); });
    CHECK_FALSE(Back.Error);
    CHECK(World.plan(Id).State == PlanState::TakenBack);
    CHECK(countRows(World, "audit/") == 3);
    CHECK(countRows(World, TargetPrefix) == 0);
  }
}

// Guards against an answer that says more than the store has said.
TEST_CASE("Without the store nothing is confirmed") {
  PlanWorld World;
  const std::string Id = proposed(World, move(World));
  World.Store.Down = true;
  CHECK(confirm(World, Id).Error == Errc::Unavailable);
  World.Store.Down = false;
  World.Store.LoseAnswers = 1;
  World.Store.DownAfterLostAnswer = true;
  const PlanAnswer Unknown = confirm(World, Id);
  CHECK(Unknown.Error == Errc::Unknown);
  CHECK_FALSE(Unknown.Reasons.empty());
  World.Store.Down = false;
  CHECK(World.plan(Id).State == PlanState::Confirmed);
}

// Guards against two plans that pull one thing in two directions.
TEST_CASE("A second plan on the same target is refused") {
  PlanWorld World;
  World.start(move(World));
  World.advance(1s);
  const PlanAnswer Answer = confirm(World, proposed(World, move(World)));
  CHECK(Answer.Error == Errc::Conflict);
  REQUIRE(Answer.Reasons.size() == 1);
  CHECK(Answer.Reasons[0].find("traffic/w1") != std::string::npos);
}

// Guards against a document that silently undoes a running move, and against
// one that is too careful to be loaded at all.
TEST_CASE("A document keeps what active plans work on") {
  PlanWorld World;
  World.hold(World.One);
  World.start(move(World));
  World.advance(40s);
  FleetConfig Without = World.Fleet.current();
  Without.Shifts.clear();
  const PlanAnswer Refused =
      confirm(World, proposed(World, LoadDocument{formatFleetConfig(Without)}));
  CHECK(Refused.Error == Errc::Conflict);
  FleetConfig With = World.Fleet.current();
  With.Workspaces[5].Rate = 7;
  const std::string Id = proposed(World, LoadDocument{formatFleetConfig(With)});
  CHECK(World.plan(Id).Workspaces == std::vector<std::string>{"w5"});
  CHECK_FALSE(confirm(World, Id).Error);
  World.advance(2s);
  CHECK(World.plan(Id).State == PlanState::Finished);
  CHECK(World.Fleet.current().Workspaces[5].Rate == 7);
  CHECK(World.Fleet.current().Shifts.size() == 1);
}

// Guards against keys that are bound to a configuration they do not change,
// and against a take-back that is promised where there is none.
TEST_CASE("A key is withdrawn without a new configuration") {
  PlanWorld World;
  World.hold(World.One);
  const std::string Hash(64, 'b');
  const std::string Id = World.start(WithdrawKey{Hash});
  CHECK(World.Store.Rows.count("keys/" + Hash) == 1);
  CHECK(World.Fleet.current().Version == 10);
  const PlanAnswer Back =
      World.ask([&] { return World.Two.Plans.takeBack(Id, "ann", "oops"); });
  CHECK(Back.Error == Errc::Conflict);
  CHECK(World.runUntilEnded(Id, 10s).State == PlanState::Finished);
  CHECK(World.plan(Id).Result.find("In force everywhere") == 0);
}

// Guards against confirmations of a proposal whose loads are long past.
TEST_CASE("An old proposal cannot be confirmed") {
  PlanWorld World;
  const std::string Id = proposed(World, move(World));
  World.advance(31min);
  CHECK(confirm(World, Id).Error == Errc::Conflict);
  CHECK(World.plan(Id).State == PlanState::Refused);
}
