#include "steering/CostPlacement.h"
#include "steering/ObservedLoad.h"
#include "steering/StableHash.h"
#include "steering/SteeringTestBed.h"

#include <catch2/catch.hpp>

#include <map>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const RequestPermit NoPermit = [](const BackendState &) { return false; };
const RequestPermit AnyPermit = [](const BackendState &) { return true; };

/// Two regions with one availability zone each.
struct Site {
  explicit Site(int Near = 8, int Far = 8) {
    Clock::pause();
    for (int Index = 0; Index < Near; ++Index)
      this->add("near-" + std::to_string(Index), "n-a");
    for (int Index = 0; Index < Far; ++Index)
      this->add("far-" + std::to_string(Index), "f-a");
    this->Query.Route = &this->Route;
    this->Query.Service = "stock";
    this->Query.TimeLeft = 2s;
    this->Query.Priority = 2;
    this->Query.Object = stableHash("object");
  }
  ~Site() { Clock::resume(); }

  void add(const std::string &Id, const std::string &Zone) {
    this->Pool.apply(testBackend(Id, Zone, 5), Clock::now());
  }
  Placement choose(const RequestPermit &Permit = NoPermit) {
    return this->Rule.choose(this->Query, this->Pool, this->Network, Permit,
                             Clock::now());
  }
  void report(BackendState &Server, int Running, int Waiting,
              double Factor = 1) {
    this->Rule.noteReport(Server, {Running, Waiting, 5, Factor}, 1ms,
                          Clock::now());
  }
  void reportAll(int Running, int Waiting) {
    for (const BackendPtr &Server : this->servers())
      this->report(*Server, Running, Waiting);
  }
  const std::vector<BackendPtr> &servers() const {
    return this->Pool.serversForService("stock");
  }
  /// How often each server is chosen, by id.
  std::map<std::string, int> choices(int Count) {
    std::map<std::string, int> Result;
    for (int Index = 0; Index < Count; ++Index)
      if (const Placement Chosen = this->choose();
          Chosen.Outcome == Placement::Result::Found)
        ++Result[Chosen.Server->Record.Id];
    return Result;
  }

  SteeringRoute Route = testRoute();
  BackendPool Pool{{{"n-a", "near"}, {"f-a", "far"}}};
  RoundTripTimes Network{"n-a", "near"};
  CostPlacement Rule{1};
  PlacementQuery Query;
};

} // namespace

// Guards against objects that are spread over many caches.
TEST_CASE(
    "By cost, an object goes to the same server again and again, at every "
    "instance",
    "[costplacement]") {
  Site S;
  S.reportAll(2, 0);
  const BackendPtr Home = S.choose().Server;
  REQUIRE(Home);
  CHECK(Home->Region == "near");
  S.Rule = CostPlacement(2);
  S.reportAll(2, 0);
  CHECK(S.choices(200) == std::map<std::string, int>{{Home->Record.Id, 200}});
  // Many objects use all servers of the region.
  std::set<std::string> Homes;
  for (std::uint64_t Object = 0; Object < 100; ++Object) {
    S.Query.Object = mixHashes(Object, 1);
    Homes.insert(S.choose().Server->Record.Id);
  }
  CHECK(Homes.size() == 8);
}

TEST_CASE("By cost, a home with a queue gives the object to its next home",
          "[costplacement]") {
  Site S;
  S.reportAll(1, 0);
  const BackendPtr Home = S.choose().Server;
  S.report(*Home, 5, 14);
  const Placement Next = S.choose();
  REQUIRE(Next.Outcome == Placement::Result::Found);
  CHECK(Next.Server != Home);
  CHECK(Next.Affinity == CacheAffinity::NextHome);
  for (int Index = 0; Index < 50; ++Index)
    CHECK(S.choose().Server == Next.Server);
}

// Guards against cold work that takes the room of cached work.
TEST_CASE(
    "By cost, a request is refused before it displaces objects of servers "
    "that are in use",
    "[costplacement]") {
  Site S(8, 0);
  S.reportAll(5, 0);
  for (const BackendPtr &Server : S.servers()) {
    const CompletionEstimate Estimate = S.Rule.estimateCompletion(
        S.Query, Server, S.Pool, S.Network, Clock::now());
    if (Estimate.Affinity < CacheAffinity::Other)
      S.report(*Server, 5, 14);
  }
  const Placement Refusal = S.choose();
  CHECK(Refusal.Outcome == Placement::Result::Full);
  CHECK(Refusal.Server);
  // With spare slots the others take it.
  for (const BackendPtr &Server : S.servers())
    if (S.Rule
            .estimateCompletion(S.Query, Server, S.Pool, S.Network,
                                Clock::now())
            .Affinity == CacheAffinity::Other)
      S.report(*Server, 0, 0);
  CHECK(S.choose().Affinity == CacheAffinity::Other);
}

// Guards against an instance that has just started, whose own region is full
// and that takes all others for full: it refused 6,400 requests in 10 s, while
// the servers of the other regions had room.
TEST_CASE("By cost, a region that no report came from is used when the own "
          "region is full",
          "[costplacement]") {
  Site S(10, 40);
  for (int Round = 0; Round < 20; ++Round)
    for (const BackendPtr &Server : S.servers())
      if (Server->Region == "near")
        S.report(*Server, 5, 10);
  int Far = 0;
  for (std::uint64_t Object = 0; Object < 200; ++Object) {
    S.Query.Object = mixHashes(Object, 5);
    const Placement Chosen = S.choose();
    Far += Chosen.Outcome == Placement::Result::Found &&
           Chosen.Server->Region == "far";
  }
  CHECK(Far > 190);
}

TEST_CASE("By cost, other servers than the homes are found when these fail",
          "[costplacement]") {
  Site S(30, 0);
  S.reportAll(0, 0);
  std::set<std::string> Homes;
  for (const BackendPtr &Server : S.servers())
    if (S.Rule
            .estimateCompletion(S.Query, Server, S.Pool, S.Network,
                                Clock::now())
            .Affinity < CacheAffinity::Other) {
      Homes.insert(Server->Record.Id);
      for (int Index = 0; Index < 30; ++Index)
        noteAttempt(*Server, true, Clock::now());
    }
  CHECK(Homes.size() == 3);
  for (int Index = 0; Index < 50; ++Index)
    CHECK(Homes.count(S.choose().Server->Record.Id) == 0);
}

// Guards against refusals of an object that fills two servers.
TEST_CASE("By cost, an object whose two homes are full goes to a third one",
          "[costplacement]") {
  Site S(30, 0);
  S.reportAll(2, 0);
  for (int Index = 0; Index < 2; ++Index)
    S.report(*S.choose().Server, 5, 14);
  for (int Index = 0; Index < 50; ++Index)
    CHECK(S.choose().Affinity == CacheAffinity::NextHome);
  S.report(*S.choose().Server, 5, 14);
  CHECK(S.choose().Outcome == Placement::Result::Full);
}

// Guards against refusals while many servers have room.
TEST_CASE("By cost, a free server is found when the homes and most others are "
          "full",
          "[costplacement]") {
  Site S(200, 0);
  S.reportAll(5, 15);
  for (std::size_t Index = 0; Index < 80; ++Index)
    S.report(*S.servers()[Index], 0, 0);
  int Found = 0;
  for (std::uint64_t Object = 0; Object < 500; ++Object) {
    S.Query.Object = mixHashes(Object, 3);
    Found += S.choose().Outcome == Placement::Result::Found;
  }
  CHECK(Found > 450);
}

// Guards against herds: without random candidates all instances take the same
// servers.
TEST_CASE("By cost, requests without an object are spread over the servers",
          "[costplacement]") {
  Site S(8, 0);
  S.Query.Object.reset();
  S.reportAll(3, 0);
  const auto Choices = S.choices(800);
  CHECK(Choices.size() == 8);
  for (const auto &[Id, Count] : Choices)
    CHECK(Count > 50);
}

TEST_CASE("By cost, a machine that is slow at this moment gets no request that "
          "another can take, and gets it again soon",
          "[costplacement]") {
  Site S(2, 0);
  S.Query.Object.reset();
  S.reportAll(2, 0);
  S.report(*S.servers()[0], 2, 0, 2.5);
  CHECK(S.choices(100)[S.servers()[0]->Record.Id] == 0);
  Clock::advance(10s);
  S.reportAll(2, 0);
  CHECK(S.choices(100)[S.servers()[0]->Record.Id] > 20);
}

TEST_CASE("By cost, servers that are draining, evacuated, tried, removed or "
          "outside the home regions get no requests",
          "[costplacement]") {
  Site S;
  S.reportAll(1, 0);
  const std::set<std::string> Evacuated{"n-a"};
  const BackendPtr First = S.choose().Server;
  SECTION("evacuated") {
    S.Query.EvacuatedZones = &Evacuated;
    CHECK(S.choose().Server->Region == "far");
  }
  SECTION("outside the homes") {
    S.Query.HomeRegions = {"far"};
    CHECK(S.choose().Server->Region == "far");
  }
  SECTION("tried") {
    S.Query.TriedServers = {First->Record.Id};
    CHECK(S.choose().Server != First);
  }
  SECTION("avoided after a failure") {
    First->RetryAt = Clock::now() + 1s;
    CHECK(S.choose().Server != First);
  }
  SECTION("draining") {
    BackendRecord Leaving = First->Record;
    Leaving.Draining = true;
    S.Pool.apply(Leaving, Clock::now());
    CHECK(S.choose().Server != First);
  }
  SECTION("removed") {
    S.Pool.remove(First->Record.Id);
    CHECK(S.choose().Server != First);
  }
  SECTION("another version") {
    S.Query.AvoidedVersions = {"v1"};
    CHECK(S.choose().Outcome == Placement::Result::NoServer);
    S.Query.AvoidedVersions.clear();
    S.Query.Version = "v2";
    CHECK(S.choose().Outcome == Placement::Result::NoServer);
  }
  SECTION("none is left") {
    S.Query.HomeRegions = {"elsewhere"};
    CHECK(S.choose().Outcome == Placement::Result::NoServer);
  }
}

// Guards against a refusal for want of luck: the only eligible server of many
// is found.
TEST_CASE("By cost, one eligible server among many that are avoided is found",
          "[costplacement]") {
  Site S(200, 0);
  for (const BackendPtr &Server : S.servers())
    Server->RetryAt = Clock::now() + 10s;
  S.servers()[150]->RetryAt = {};
  CHECK(S.choose().Server == S.servers()[150]);
}

TEST_CASE("By cost, deprioritized regions come last and blocked regions never",
          "[costplacement]") {
  Site S;
  S.reportAll(1, 0);
  S.Query.DeprioritizedRegions = {"near"};
  for (int Index = 0; Index < 50; ++Index)
    CHECK(S.choose().Server->Region == "far");
  S.Query.BlockedRegions = {"far"};
  CHECK(S.choose().Server->Region == "near");
  S.Query.BlockedRegions = {"far", "near"};
  CHECK(S.choose().Outcome == Placement::Result::Full);
}

TEST_CASE("By cost, a cold or limited server gets a request only with a permit",
          "[costplacement]") {
  Site S;
  S.reportAll(1, 0);
  const BackendPtr First = S.choose().Server;
  SECTION("cold") {
    First->ColdUntil = Clock::now() + 3s;
    CHECK(S.choose().Server != First);
    for (const BackendPtr &Server : S.servers())
      Server->ColdUntil = Clock::now() + 3s;
  }
  SECTION("limited") {
    First->Limit.RequestsPerSecond = 1;
    CHECK(S.choose().Server != First);
    for (const BackendPtr &Server : S.servers())
      Server->Limit.RequestsPerSecond = 1;
  }
  CHECK(S.choose().Outcome == Placement::Result::Full);
  CHECK(S.choose(AnyPermit).Outcome == Placement::Result::Found);
}

TEST_CASE("By cost, a failing server is avoided until its failures are old",
          "[costplacement]") {
  Site S;
  S.reportAll(1, 0);
  const BackendPtr First = S.choose().Server;
  for (int Index = 0; Index < 30; ++Index)
    noteAttempt(*First, true, Clock::now());
  CHECK(S.choose().Server != First);
  Clock::advance(30s);
  CHECK(S.choose().Server == First);
}

TEST_CASE("By cost, a request that cannot be done in its time is refused",
          "[costplacement]") {
  Site S;
  S.Query.TimeLeft = 20ms;
  CHECK(S.choose().Outcome == Placement::Result::Full);
  S.Query.TimeLeft = 400ms;
  CHECK(S.choose().Outcome == Placement::Result::Found);
}

TEST_CASE("By cost, a limit on the load refuses what exceeds it",
          "[costplacement]") {
  Site S;
  S.reportAll(3, 0);
  S.Query.LoadLimit = 0.5;
  CHECK(S.choose().Outcome == Placement::Result::Full);
  S.Query.LoadLimit = 0.9;
  CHECK(S.choose().Outcome == Placement::Result::Found);
}

// Guards against a service that stays closed because of its last reports.
TEST_CASE("By cost, full servers are tried again without a new report",
          "[costplacement]") {
  Site S;
  S.reportAll(5, 15);
  CHECK(S.choose().Outcome == Placement::Result::Full);
  Clock::advance(15s);
  CHECK(S.choose().Outcome == Placement::Result::Found);
}

TEST_CASE("By cost, an instance that just started places requests",
          "[costplacement]") {
  Site S;
  CHECK_FALSE(S.Rule.hasWorkFactors("stock"));
  const Placement Chosen = S.choose();
  REQUIRE(Chosen.Outcome == Placement::Result::Found);
  CHECK(Chosen.Affinity == CacheAffinity::Home);
  CHECK(Chosen.EligibleServers == 16);
  REQUIRE(Chosen.Cost);
  CHECK(meanWork(*Chosen.Cost) > 100ms);
  S.report(*Chosen.Server, 1, 0);
  CHECK(S.Rule.hasWorkFactors("stock"));
}

TEST_CASE("By cost, the transfer of large answers keeps requests in the zone",
          "[costplacement]") {
  Site S(2, 8);
  S.Route.Kind = RouteKind::Download;
  S.Query.Object.reset();
  S.reportAll(3, 0);
  for (int Index = 0; Index < 50; ++Index)
    CHECK(S.choose().Server->Region == "near");
}
