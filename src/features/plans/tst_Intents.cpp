#include "plans/IntentJson.h"
#include "plans/MakePlan.h"
#include "plans/PlanWorld.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

const std::string Hash(64, 'a');
const WallTime Now{std::chrono::seconds(1'800'000'000)};

std::vector<json> everyKind() {
  const std::string Later = formatWallTime(Now + 1h);
  return {{{"kind", "take_on_workspace"},
           {"workspace", "new"},
           {"rate_per_second", 60},
           {"burst", 5},
           {"entry_regions", {"a", "b"}}},
          {{"kind", "move_traffic"},
           {"workspace", "w1"},
           {"from_region", "a"},
           {"to_region", "b"},
           {"share", 0.5},
           {"cap", 0.5},
           {"steps", 5},
           {"deadline", Later},
           {"at_deadline", "stop"}},
          {{"kind", "drain_server"}, {"server", "s1"}},
          {{"kind", "roll_out_version"},
           {"service", "stock"},
           {"version", "2"},
           {"deadline", Later}},
          {{"kind", "issue_key"}, {"workspace", "w1"}, {"key_hash", Hash}},
          {{"kind", "withdraw_key"}, {"key_hash", Hash}},
          {{"kind", "set_rate"},
           {"workspace", "w1"},
           {"rate_per_second", 200},
           {"burst", 20}},
          {{"kind", "declare_lost"}, {"instance", "i3"}},
          {{"kind", "load_document"}, {"document", {{"version", 4}}}}};
}

Intent read(const json &Value) {
  std::vector<std::string> Problems;
  INFO(Value.dump());
  // As from a request: whole numbers of a parsed text are unsigned.
  const auto Result = readIntent(json::parse(Value.dump()), Problems);
  REQUIRE(Result);
  return *Result;
}

Outcome<Plan> plan(const json &Value, std::vector<std::string> &Problems) {
  static const FleetConfig Config = sampleFleet();
  const PlanInputs Inputs{Config,
                          {{"a", 300, 400, 0s}, {"b", 100, 400, 0s}},
                          {{"w1", "a", 80}, {"w2", "a", 220}},
                          Now};
  return makePlan(read(Value), Inputs, Problems);
}

} // namespace

// Guards against a kind of intent that cannot be read, or is changed by its
// way through the plan's row.
TEST_CASE("Every kind of intent survives formatting and reading") {
  for (const json &Value : everyKind()) {
    const json Once = formatIntent(read(Value));
    CHECK(formatIntent(read(Once)) == Once);
    CHECK(Once["kind"] == Value["kind"]);
  }
}

// Guards against reports that name only the first of several mistakes.
TEST_CASE("All mistakes of an intent are reported at once") {
  std::vector<std::string> Problems;
  const json Value = {
      {"kind", "move_traffic"}, {"workspace", ""}, {"to_region", 7},
      {"share", 1.5},           {"cap", 0.1},      {"deadline", "soon"},
      {"at_deadline", "panic"}, {"colour", "red"}};
  CHECK_FALSE(readIntent(Value, Problems));
  // Seven wrong members, and the share is above the cap.
  CHECK(Problems.size() == 7);
  Problems.clear();
  CHECK_FALSE(readIntent(json("text"), Problems));
  CHECK_FALSE(readIntent({{"kind", "other"}}, Problems));
}

// Guards against a plan that leaves out what an operator has to know.
TEST_CASE("Every plan says what changes and how it is taken back") {
  for (const json &Value : everyKind()) {
    INFO(Value.dump());
    std::vector<std::string> Problems;
    const auto Made = plan(Value, Problems);
    REQUIRE(Made);
    CHECK_FALSE(Made->Changes.empty());
    CHECK_FALSE(Made->Steps.empty());
    CHECK_FALSE(Made->WayBack.empty());
    CHECK_FALSE(Made->Targets.empty());
    CHECK(Made->BaseVersion == 10);
    CHECK(Made->State == PlanState::Proposed);
  }
}

// Guards against a forecast that moves load without taking it away elsewhere.
TEST_CASE("A move forecasts both regions and its steps end at the share") {
  std::vector<std::string> Problems;
  const auto Made = plan(everyKind()[1], Problems);
  REQUIRE(Made);
  CHECK(Made->Regions[0].LoadAfter == Approx(260));
  CHECK(Made->Regions[1].LoadAfter == Approx(140));
  REQUIRE(Made->Steps.size() == 5);
  CHECK(Made->Steps.front().Share == Approx(0.1));
  CHECK(Made->Steps.back().Share == 0.5);
  CHECK(Made->Workspaces == std::vector<std::string>{"w1"});
}

// Guards against a plan that sends a region more than it can serve.
TEST_CASE("A plan beyond a region's capacity is refused") {
  std::vector<std::string> Problems;
  json Value = everyKind()[0];
  Value["rate_per_second"] = 900;
  CHECK_FALSE(plan(Value, Problems));
  REQUIRE(Problems.size() == 2);
  CHECK(Problems[0].find("region a") != std::string::npos);
}

// Guards against a rollout that cannot meet its time, or has nothing to run on.
TEST_CASE("A rollout without time, servers or split is refused") {
  std::vector<std::string> Problems;
  json Value = everyKind()[3];
  Value["deadline"] = formatWallTime(Now + 20s);
  Value["version"] = "9";
  CHECK_FALSE(plan(Value, Problems));
  CHECK(Problems.size() == 2);
}
