#include "base/Digest.h"
#include "instance/InstanceFleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

std::string outcomeOf(const HttpResponse &Response) {
  const auto Body = nlohmann::json::parse(Response.Body, nullptr, false);
  return Body.is_object() ? Body.value("outcome", "") : std::string();
}

std::string withdrawal(const InstanceFleet &Fleet) {
  return intentText("withdraw_key",
                    "\"key_hash\":\"" + sha256Hex(Fleet.Key) + "\"");
}

} // namespace

// Guards against an instance that serves only what it owns or what enters it.
TEST_CASE("Every instance serves keyed requests and hides the key") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  for (const char *Name : {"a1x", "a1y", "a2x", "b1x"}) {
    const auto Response = Fleet.request(Name, "/stock/1?key=" + Fleet.Key);
    INFO(Name << " " << Response.Body);
    CHECK(Response.Status == 200);
  }
  CHECK(Fleet.KeysSeen == 0);
}

// Guards against keys that go on working where the withdrawal did not arrive
// (P5): a zone that is cut off from everything must refuse within 5 s.
TEST_CASE("A withdrawn key stops within 5 s, also in a cut-off zone") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  Fleet.Nodes.at("b1x").Group = 1;
  Fleet.Nodes.at("b1x").StoreCut = true;
  REQUIRE_FALSE(Fleet.carryOut("a1x", withdrawal(Fleet)).empty());
  Fleet.advance(5s);
  for (const char *Name : {"a1x", "a1y", "a2x", "b1x"})
    CHECK(Fleet.request(Name, "/stock/1").Status != 200);
  // Open routes and look-ups go on in the cut-off zone.
  CHECK(Fleet.request("b1x", "/about").Status == 200);
  CHECK(Fleet.request("b1x", "/.redwingrack/lookup?address=10.2.0.1").Status ==
        200);
}

// Guards against a store outage that stops keyed traffic although all
// instances reach each other.
TEST_CASE("A store outage alone does not stop keyed requests") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  Fleet.Store.Down = true;
  Fleet.advance(30s);
  for (const char *Name : {"a1x", "a2x", "b1x"})
    CHECK(Fleet.request(Name, "/stock/1").Status == 200);
  // Orders with a key cannot be claimed and are refused truthfully.
  const auto Order =
      Fleet.request("a1x", "/orders", "POST",
                    {{"Idempotency-Key", "o1"}, {"X-Request-Id", "o1"}});
  CHECK(Order.Status == 503);
  CHECK(outcomeOf(Order) == "not_run");
  CHECK(Fleet.runsOf("o1") == 0);
}

// Guards against withdrawals that wait for the store (P5 while it is down).
TEST_CASE("A key is withdrawn while the store is down") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  Fleet.Store.Down = true;
  Fleet.advance(5s);
  REQUIRE_FALSE(Fleet.carryOut("a1x", withdrawal(Fleet)).empty());
  Fleet.advance(5s);
  for (const char *Name : {"a1x", "a1y", "a2x", "b1x"})
    CHECK(Fleet.request(Name, "/stock/1").Status == 401);
  Fleet.Store.Down = false;
  Fleet.advance(10s);
  CHECK(Fleet.Store.Rows.count("keys/" + sha256Hex(Fleet.Key)) == 1);
  CHECK(
      Fleet.Store.Rows.at("keys/" + sha256Hex(Fleet.Key)).Value.find("true") !=
      std::string::npos);
}

// Guards against an order that runs twice when its answer or the claim's
// answer was lost (P10).
TEST_CASE("A repeated order runs once, whatever was lost") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  Fleet.Store.LoseAnswers = 1;
  const HttpHeaders Order = {{"Idempotency-Key", "o2"}, {"X-Request-Id", "o2"}};
  Fleet.request("a1x", "/orders", "POST", Order);
  Fleet.request("b1x", "/orders", "POST", Order);
  Fleet.request("a2x", "/orders", "POST", Order);
  CHECK(Fleet.runsOf("o2") == 1);
}

// Guards against a request that crashes one server after the other.
TEST_CASE("A crash-causing request costs at most two servers") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  for (auto &[Name, Server] : Fleet.Servers)
    Server.CrashPath = "/stock/crash";
  for (int Round = 0; Round < 4; ++Round)
    for (const char *Name : {"a1x", "a1y", "a2x", "b1x"})
      Fleet.request(Name, "/stock/crash");
  std::uint64_t Crashes = 0;
  for (const auto &[Name, Server] : Fleet.Servers)
    Crashes += Server.Crashes;
  CHECK(Crashes <= 2);
  CHECK(Fleet.request("a1x", "/stock/other").Status == 200);
}

// Guards against a drained server that still gets work (P11).
TEST_CASE("A drained server gets nothing after 5 s") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  const auto Id = Fleet.carryOut(
      "a1x", intentText("drain_server", "\"server\":\"stock-1\""));
  REQUIRE_FALSE(Id.empty());
  const Clock::time_point Limit = Clock::now() + 5s;
  for (int I = 0; I < 100; ++I) {
    Fleet.begin("a1x", "/stock/1");
    Fleet.begin("a1y", "/stock/1");
    Fleet.advance(100ms);
  }
  CHECK(Fleet.Servers.at("stock-1").LastBegan <= Limit);
  CHECK(Fleet.stateOf("a1x", Id) == "finished");
}

// Guards against a planned stop that cuts requests (P12).
TEST_CASE("A leaving instance answers what it has accepted") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  std::vector<std::shared_ptr<HttpResponse>> Answers;
  bool Left = false;
  Fleet.Loop.spawn([&]() -> asio::awaitable<void> {
    co_await Fleet.core("a1x").leave();
    Left = true;
  });
  // Callers with an older look-up answer go on for as long as they may keep
  // it.
  for (int I = 0; I < 95; ++I) {
    Answers.push_back(Fleet.begin("a1x", "/stock/1"));
    Fleet.advance(100ms);
  }
  Fleet.advance(20s);
  CHECK(Left);
  for (const auto &Answer : Answers)
    CHECK(Answer->Status == 200);
}

// Guards against a configuration that reverts or differs after a partition
// (P13).
TEST_CASE("Partitions that meet agree on the newest configuration") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  Fleet.Nodes.at("b1x").Group = 1;
  Fleet.Nodes.at("b1x").StoreCut = true;
  const auto Rate = [](int Value) {
    return intentText("set_rate", "\"workspace\":\"v\",\"rate_per_second\":" +
                                      std::to_string(Value) + ",\"burst\":5");
  };
  REQUIRE_FALSE(Fleet.carryOut("a1x", Rate(30)).empty());
  // The first plan holds the workspace until its change is in force: 4 s when
  // an instance cannot confirm it.
  Fleet.advance(6s);
  REQUIRE_FALSE(Fleet.carryOut("a2x", Rate(31)).empty());
  CHECK(Fleet.carryOut("b1x", Rate(99)).empty());
  Fleet.advance(10s);
  Fleet.Nodes.at("b1x").Group = 0;
  Fleet.Nodes.at("b1x").StoreCut = false;
  Fleet.advance(7s);
  const auto Version = Fleet.core("a1x").state().Control.config().version();
  for (const char *Name : {"a1y", "a2x", "b1x"})
    CHECK(Fleet.core(Name).state().Control.config().version() == Version);
}

// Guards against an instance that starts from nothing while the store is down.
TEST_CASE("A new instance takes its state from its peers") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  Fleet.kill("a2x");
  Fleet.Store.Down = true;
  Fleet.advance(5s);
  Fleet.start("a2x");
  // It learns of its peers from the instances that connect to it.
  Fleet.advance(20s);
  CHECK(Fleet.request("a1x", "/stock/1").Status == 200);
}

// Guards against reports that reach only the relays of zones with a greater
// name, which left the first zone without the load of the others.
TEST_CASE("Every relay has recent reports of every instance") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  for (const char *Name : {"a1x", "a2x", "b1x"})
    CHECK(Fleet.core(Name).reports().recent(Clock::now()).size() == 4);
}
