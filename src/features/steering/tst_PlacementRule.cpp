#include "steering/PlacementRule.h"

#include "steering/ObjectHomes.h"
#include "steering/ObservedLoad.h"
#include "steering/StableHash.h"
#include "steering/SteeringTestBed.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const RequestPermit NoPermit = [](const BackendState &) { return false; };

/// Two regions with one availability zone each; the first has few servers.
struct Site {
  Site() {
    Clock::pause();
    for (int Index = 0; Index < 2; ++Index)
      this->add("small-" + std::to_string(Index), "s-a");
    for (int Index = 0; Index < 8; ++Index)
      this->add("large-" + std::to_string(Index), "l-a");
    this->Query.Route = &this->Route;
    this->Query.Service = "stock";
    this->Query.TimeLeft = 2s;
    this->Query.Object = stableHash("object");
  }
  ~Site() { Clock::resume(); }

  void add(const std::string &Id, const std::string &Zone) {
    this->Pool.apply(testBackend(Id, Zone), Clock::now());
  }

  Placement choose(const RequestPermit &Permit = NoPermit) {
    return choosePlacement(this->Query, this->Pool.serversForService("stock"),
                           this->Work, this->Network, Permit, Clock::now());
  }

  SteeringRoute Route = testRoute();
  BackendPool Pool{{{"s-a", "s"}, {"l-a", "l"}}};
  RoundTripTimes Network{"s-a", "s"};
  ProcessingTimes Work;
  PlacementQuery Query;
};

void fill(BackendState &Server, int Load) {
  noteLoad(Server, {Load, 0, Server.Record.Slots}, Clock::now());
}

} // namespace

TEST_CASE("An object goes to the same server of its region again and again",
          "[placement]") {
  Site S;
  const Placement First = S.choose();
  REQUIRE(First.Outcome == Placement::Result::Found);
  CHECK(First.Server->Region == "s");
  for (int Index = 0; Index < 20; ++Index)
    CHECK(S.choose().Server == First.Server);
}

TEST_CASE("A full home sends its requests to the object's home in another "
          "region, and not to any free server",
          "[placement]") {
  Site S;
  fill(*S.choose().Server, 20);
  const ObjectHomes Homes(S.Query, "s", S.Pool.serversForService("stock"));
  const Placement Next = S.choose();
  REQUIRE(Next.Outcome == Placement::Result::Found);
  CHECK(Homes.affinityOf(*Next.Server, false) == CacheAffinity::NextHome);
  CHECK(Next.Server->Region == "l");
}

TEST_CASE("Under load a request is refused before it displaces objects from "
          "the cache of a server that is not its home",
          "[placement]") {
  Site S;
  for (const BackendPtr &Server : S.Pool.serversForService("stock"))
    fill(*Server, 5);
  const ObjectHomes Homes(S.Query, "s", S.Pool.serversForService("stock"));
  for (const BackendPtr &Server : S.Pool.serversForService("stock"))
    if (Homes.affinityOf(*Server, false) < CacheAffinity::Other)
      fill(*Server, 20);
  CHECK(S.choose().Outcome == Placement::Result::Full);
}

// Guards against refusals although other servers than the home have room.
TEST_CASE(
    "The objects of servers that named a limit get other homes under load",
    "[placement]") {
  Site S;
  const auto &Servers = S.Pool.serversForService("stock");
  for (const BackendPtr &Server : Servers)
    fill(*Server, 5);
  const ObjectHomes Homes(S.Query, "s", Servers);
  for (const BackendPtr &Server : Servers)
    if (Homes.affinityOf(*Server, false) < CacheAffinity::Other)
      Server->Limit.RequestsPerSecond = 1;
  const Placement Other = S.choose();
  REQUIRE(Other.Outcome == Placement::Result::Found);
  CHECK(Homes.affinityOf(*Other.Server, false) == CacheAffinity::Other);
  // If all servers named one, the homes stay.
  for (const BackendPtr &Server : Servers)
    Server->Limit.RequestsPerSecond = 1;
  const Placement Permitted =
      S.choose([](const BackendState &) { return true; });
  REQUIRE(Permitted.Outcome == Placement::Result::Found);
  CHECK(Homes.affinityOf(*Permitted.Server, false) < CacheAffinity::Other);
}

TEST_CASE("A request with little time left is offered to a free server, also "
          "when the usual work is longer",
          "[placement]") {
  Site S;
  S.Query.TimeLeft = 400ms;
  CHECK(S.choose().Outcome == Placement::Result::Found);
  S.Query.TimeLeft = 20ms;
  CHECK(S.choose().Outcome == Placement::Result::Full);
}

TEST_CASE("Servers that are draining, evacuated, already tried or outside the "
          "home regions get no requests",
          "[placement]") {
  Site S;
  const std::set<std::string> Evacuated{"s-a"};
  SECTION("evacuated") {
    S.Query.EvacuatedZones = &Evacuated;
    CHECK(S.choose().Server->Region == "l");
  }
  SECTION("outside the homes") {
    S.Query.HomeRegions = {"l"};
    CHECK(S.choose().Server->Region == "l");
  }
  SECTION("tried") {
    const BackendPtr First = S.choose().Server;
    S.Query.TriedServers = {First->Record.Id};
    CHECK(S.choose().Server != First);
  }
  SECTION("draining") {
    const BackendPtr First = S.choose().Server;
    BackendRecord Leaving = First->Record;
    Leaving.Draining = true;
    S.Pool.apply(Leaving, Clock::now());
    CHECK(S.choose().Server != First);
  }
  SECTION("none is left") {
    S.Query.HomeRegions = {"elsewhere"};
    CHECK(S.choose().Outcome == Placement::Result::NoServer);
  }
}

TEST_CASE("A request is refused before it exceeds the cap on shifts",
          "[placement]") {
  Site S;
  for (const BackendPtr &Server : S.Pool.serversForService("stock"))
    if (Server->Region == "s")
      fill(*Server, 30);
  S.Query.DeprioritizedRegions = {"l"};
  CHECK(S.choose().Server->Region == "l");
  S.Query.BlockedRegions = {"l"};
  CHECK(S.choose().Outcome == Placement::Result::Full);
}

TEST_CASE("A cold server gets a request only with a permit", "[placement]") {
  Site S;
  const BackendPtr First = S.choose().Server;
  First->ColdUntil = Clock::now() + 3s;
  CHECK(S.choose().Server != First);
  for (const BackendPtr &Server : S.Pool.serversForService("stock"))
    Server->ColdUntil = Clock::now() + 3s;
  CHECK(S.choose().Outcome == Placement::Result::Full);
  CHECK(S.choose([](const BackendState &) { return true; }).Outcome ==
        Placement::Result::Found);
}

TEST_CASE("A failing server is avoided until its failures are old",
          "[placement]") {
  Site S;
  const BackendPtr First = S.choose().Server;
  for (int Index = 0; Index < 30; ++Index)
    noteAttempt(*First, true, Clock::now());
  CHECK(S.choose().Server != First);
  Clock::advance(30s);
  CHECK(S.choose().Server == First);
}

TEST_CASE("A reported queue counts until the server can have processed it",
          "[placement]") {
  Site S;
  BackendState &Server = *S.choose().Server;
  fill(Server, 30);
  Clock::advance(600ms);
  CHECK(estimatedLoad(Server, Clock::now()) > 20);
  Clock::advance(20s);
  CHECK(estimatedLoad(Server, Clock::now()) < 1);
}

TEST_CASE("A refusal without a load marks the server as full", "[placement]") {
  Site S;
  BackendState &Server = *S.choose().Server;
  assumeFull(Server, Clock::now());
  CHECK(estimatedLoad(Server, Clock::now()) >= 2 * Server.Record.Slots);
}
