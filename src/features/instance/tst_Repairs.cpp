#include "base/Digest.h"
#include "instance/InstanceFleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rr;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

json bodyOf(const AdminReply &Reply) {
  return json::parse(Reply.Body, nullptr, false);
}

const MemberEntry *memberAt(InstanceFleet &Fleet, const std::string &Instance,
                            const std::string &Member) {
  return Fleet.core(Instance).state().Control.members().find(Member);
}

// The state of a server at the instance that owns it.
ServerPtr ownedServer(InstanceFleet &Fleet, const std::string &Server) {
  for (auto &[Name, Item] : Fleet.Nodes) {
    ServerPtr Found = Item.Core->state().Routing.Routes->servers().find(Server);
    if (Found && Found->Owned)
      return Found;
  }
  return nullptr;
}

} // namespace

// Guards against a restarted instance that waits for the store although its
// peers have the control state.
TEST_CASE("An instance that restarts while the store is down synchronises") {
  InstanceFleet Fleet;
  Fleet.Seeds = {{"a1y", "a1y:81"}, {"b1x", "b1x:81"}};
  Fleet.bringUp();
  Fleet.Store.Down = true;
  Fleet.advance(5s);
  Fleet.kill("a1x");
  Fleet.advance(2s);
  Fleet.start("a1x");
  Fleet.advance(20s);
  InstanceState &State = Fleet.core("a1x").state();
  CHECK(State.Control.isSynchronised());
  CHECK(isFresh(State, Clock::now()));
  CHECK(State.Control.config().version() ==
        Fleet.core("b1x").state().Control.config().version());
  CHECK(Fleet.request("a1x", "/about").Status == 200);
  CHECK(Fleet.request("b1x", "/stock/1").Status == 200);
}

// Guards against a restarted instance that knows the keys and has no share of
// any rate until the store is back. In KNOWN-RED.txt.
TEST_CASE("An instance that restarts while the store is down serves again",
          "[.known-red]") {
  InstanceFleet Fleet;
  Fleet.Seeds = {{"a1y", "a1y:81"}, {"b1x", "b1x:81"}};
  Fleet.bringUp();
  Fleet.Store.Down = true;
  Fleet.advance(5s);
  Fleet.kill("a1x");
  Fleet.advance(2s);
  Fleet.start("a1x");
  Fleet.advance(20s);
  const auto Response = Fleet.request("a1x", "/stock/1");
  INFO(Response.Body);
  CHECK(Response.Status == 200);
  CHECK(Fleet.request("b1x", "/stock/1").Status == 200);
}

// Guards against a way out of a silent host that needs the store itself.
TEST_CASE("A silent instance is declared lost while the store is down") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  Fleet.Store.Down = true;
  Fleet.advance(5s);
  Fleet.kill("a2x", true);
  Fleet.advance(10s);
  REQUIRE(Fleet.request("a1x", "/stock/1").Status == 503);
  const auto Proposed =
      Fleet.propose("a1x", intentText("declare_lost", "\"instance\":\"a2x\""));
  INFO(Proposed.Body);
  REQUIRE(Proposed.Status == 201);
  const auto Id = bodyOf(Proposed).value("id", "");
  CHECK(Fleet.stateOf("a1x", Id) == "proposed");
  CHECK(memberAt(Fleet, "a1x", "a2x")->Record.State == MemberState::Live);
  REQUIRE(Fleet.confirm("a1x", Id).Status == 200);
  CHECK(Fleet.stateOf("a1x", Id) == "finished");
  Fleet.advance(5s);
  for (const char *Name : {"a1x", "a1y", "b1x"}) {
    INFO(Name);
    CHECK(memberAt(Fleet, Name, "a2x")->Record.State == MemberState::Lost);
    CHECK(Fleet.request(Name, "/stock/1").Status == 200);
  }
  Fleet.Store.Down = false;
  Fleet.advance(10s);
  CHECK(Fleet.Store.Rows.at("members/a2x").Value.find("\"lost\"") !=
        std::string::npos);
}

// Guards against a plan for an instance that nobody knows.
TEST_CASE("An unknown instance is not declared lost without the store") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  Fleet.Store.Down = true;
  Fleet.advance(5s);
  const auto Reply = Fleet.propose(
      "a1x", intentText("declare_lost", "\"instance\":\"nobody\""));
  CHECK(Reply.Status == 404);
}

// Guards against rows of instances that have stopped and still look live.
TEST_CASE("A clean stop reaches the store") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  bool Left = false;
  Fleet.Loop.spawn([&]() -> asio::awaitable<void> {
    co_await Fleet.core("b1x").leave();
    Left = true;
  });
  Fleet.advance(20s);
  REQUIRE(Left);
  CHECK(Fleet.Store.Rows.at("members/b1x").Value.find("\"left\"") !=
        std::string::npos);
  CHECK(Fleet.Store.Instances.at("b1x").Leaving);
}

// Guards against load reports that nobody asks for or uses.
TEST_CASE("Load reports of backend servers reach the choice of a server") {
  InstanceFleet Fleet;
  Fleet.Servers.at("stock-1").Load = ServerLoad{3, 3};
  Fleet.Servers.at("stock-2").Load = ServerLoad{0, 3};
  Fleet.bringUp();
  const ServerPtr Full = ownedServer(Fleet, "stock-1");
  const ServerPtr Idle = ownedServer(Fleet, "stock-2");
  REQUIRE(Full);
  REQUIRE(Idle);
  CHECK(Full->Hint.factor(Clock::now()) == Approx(2));
  CHECK(Idle->Hint.factor(Clock::now()) == Approx(0.5));
}

// Guards against a request each second to servers that cannot answer it.
TEST_CASE("A server without a load endpoint is left alone for a minute") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  Fleet.advance(60s);
  const std::uint64_t Before = Fleet.Servers.at("stock-3").LoadAsks;
  CHECK(Before >= 1);
  Fleet.advance(180s);
  const std::uint64_t More = Fleet.Servers.at("stock-3").LoadAsks - Before;
  CHECK(More >= 2);
  CHECK(More <= 3);
}

// Guards against metrics of the catalogue that are never set.
TEST_CASE("Members, shares and store calls are in the metrics") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  const auto Has = [&](const std::string &Line) {
    return Fleet.Nodes.at("a1x").Counters->format().find(Line) !=
           std::string::npos;
  };
  CHECK(Has("redwingrack_members{state=\"live\"} 4"));
  CHECK(Has("redwingrack_share_rate{workspace=\"w\"}"));
  CHECK(Has("redwingrack_store_calls_total{call=\"read_row\",result=\"ok\"}"));
  Fleet.Store.Down = true;
  Fleet.advance(5s);
  CHECK(Has("call=\"read_row\",result=\"failed\"}"));
}

// Guards against an answer that shows a plan which does not exist.
TEST_CASE("A proposal that was not stored is refused without its plan") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  Fleet.Store.Down = true;
  Fleet.advance(5s);
  const auto Reply = Fleet.propose(
      "a1x", intentText("set_rate", "\"workspace\":\"v\",\"rate_per_second\":"
                                    "30,\"burst\":5"));
  INFO(Reply.Body);
  CHECK(Reply.Status == 503);
  CHECK_FALSE(bodyOf(Reply).contains("plan"));
}

// Guards against `redwingrack watch` waiting for a state that never comes.
TEST_CASE("A withdrawal without the store is shown as a plan with its end") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  Fleet.Store.Down = true;
  Fleet.advance(5s);
  const auto Proposed = Fleet.propose(
      "a1x", intentText("withdraw_key",
                        "\"key_hash\":\"" + sha256Hex(Fleet.Key) + "\""));
  const auto Id = bodyOf(Proposed).value("id", "");
  CHECK(Fleet.stateOf("a1x", Id) == "proposed");
  const auto Confirmed = Fleet.confirm("a1x", Id);
  CHECK(bodyOf(Confirmed).value("id", "") == Id);
  Fleet.advance(5s);
  const json Shown = bodyOf(Fleet.show("a1x", Id));
  INFO(Shown.dump());
  CHECK(Shown.value("id", "") == Id);
  CHECK(Shown.value("state", "") == "finished");
  CHECK_FALSE(Shown.value("result", "").empty());
}

// Guards against a region whose idle servers count with the slots of their slow
// start only, so that a drain is refused for want of capacity.
TEST_CASE("The capacity of an idle region comes from its slots") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  const auto Reply = Fleet.propose(
      "a1x", intentText("drain_server", "\"server\":\"stock-1\""));
  REQUIRE(Reply.Status == 201);
  const json Regions = bodyOf(Reply)["regions"];
  INFO(Regions.dump());
  REQUIRE_FALSE(Regions.empty());
  // Seven servers with 3 slots each and 20 ms a request.
  CHECK(Regions[0]["region"] == "a");
  CHECK(Regions[0]["capacity_before"].get<double>() == Approx(1050));
  CHECK(Regions[0]["capacity_after"].get<double>() == Approx(900));
}

// Guards against reports that travel between two relays in one direction only,
// so that some relays make plans without the load of other regions.
TEST_CASE("Every relay makes plans with the load of every region") {
  InstanceFleet Fleet;
  Fleet.bringUp();
  for (const char *Name : {"a1x", "a1y", "a2x", "b1x"}) {
    const auto Reply = Fleet.propose(
        Name, intentText("drain_server", "\"server\":\"stock-4\""));
    REQUIRE(Reply.Status == 201);
    const json Regions = bodyOf(Reply)["regions"];
    INFO(Name << " " << Regions.dump());
    REQUIRE(Regions.size() == 2);
    CHECK(Regions[0]["capacity_before"].get<double>() == Approx(1050));
    CHECK(Regions[1]["capacity_before"].get<double>() == Approx(300));
  }
}

// Guards against load reports with missing, negative or zero members that
// reach the choice of a server.
TEST_CASE("A malformed load report is an error value") {
  const auto Good = parseServerLoad(R"({"running":2,"slots":8,"other":"x"})");
  REQUIRE(Good);
  CHECK(Good->Running == 2);
  CHECK(Good->Slots == 8);
  for (const char *Text :
       {"", "[]", "{}", R"({"running":2})", R"({"running":-1,"slots":8})",
        R"({"running":2,"slots":0})", R"({"running":2.5,"slots":8})",
        R"({"running":"2","slots":8})"}) {
    INFO(Text);
    CHECK_FALSE(parseServerLoad(Text));
  }
}
