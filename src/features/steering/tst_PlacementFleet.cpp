#include "steering/PlacementSimulation.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <numeric>

using namespace rr;

namespace {

void print(const PlacementScenario &Scenario) {
  const PlacementOutcome Result = simulatePlacement(Scenario);
  std::printf(
      "%3d x%3d use %.2f obj %3d  %s  refused arrivals %4.1f%%  "
      "refused %4.1f%%  in time %4.1f%%  cached %4.1f%%  wait %4.0f ms  "
      "long %4.1f%%\n",
      Scenario.Servers, Scenario.Instances, Scenario.Use,
      Scenario.ObjectsPerServer, Scenario.ByCost ? "new" : "old",
      100 * Result.refusedArrivalShare(), 100 * Result.refusedShare(),
      100 * Result.inTimeShare(), 100 * Result.cachedShare(),
      1e3 * Result.meanWait().count(), 100 * Result.longWaitShare());
}

PlacementScenario scenario(int Servers, int Instances, int ObjectsPerServer,
                           double Use) {
  PlacementScenario Result;
  Result.Servers = Servers;
  Result.Instances = Instances;
  Result.ObjectsPerServer = ObjectsPerServer;
  Result.Use = Use;
  if (ObjectsPerServer == 0)
    Result.Target = Seconds(2.5);
  Result.Length = Seconds(Servers > 50 ? 20 : 60);
  return Result;
}

PlacementOutcome outcome(PlacementScenario Scenario, bool ByCost) {
  Scenario.ByCost = ByCost;
  return simulatePlacement(Scenario);
}

} // namespace

// Guards against herds: instances with old views that all send to the server
// that looks best. The load takes 85% of the slots.
TEST_CASE("At 85% load, instances with old views turn few arrivals away",
          "[placementfleet]") {
  for (const auto &[Servers, Instances] : {std::pair{12, 30}, {81, 87}}) {
    CAPTURE(Servers, Instances);
    const PlacementScenario Load = scenario(Servers, Instances, 0, 0.85);
    const PlacementOutcome Old = outcome(Load, false);
    const PlacementOutcome New = outcome(Load, true);
    CHECK(New.refusedArrivalShare() < 0.03);
    CHECK(New.refusedShare() < 0.03);
    CHECK(New.refusedArrivalShare() < Old.refusedArrivalShare() / 3);
    CHECK(New.meanWait() < Old.meanWait() / 2);
    CHECK(New.inTimeShare() > Old.inTimeShare() + 0.3);
    CHECK(New.inTimeShare() > 0.6);
  }
}

// Guards against requests of one object that are spread over many caches, and
// against cold work that takes the room of cached work. If all work is cached,
// the load takes 50% or 70% of the slots.
TEST_CASE("Objects stay cached under load at instances with old views",
          "[placementfleet]") {
  for (const auto &[Servers, Instances] : {std::pair{12, 30}, {81, 87}}) {
    CAPTURE(Servers, Instances);
    const PlacementOutcome Half =
        outcome(scenario(Servers, Instances, 12, 0.5), true);
    CHECK(Half.refusedArrivalShare() < 0.03);
    CHECK(Half.refusedShare() < 0.03);
    CHECK(Half.cachedShare() > 0.98);
    CHECK(Half.inTimeShare() > 0.85);
    const PlacementScenario High = scenario(Servers, Instances, 12, 0.7);
    const PlacementOutcome Old = outcome(High, false);
    const PlacementOutcome New = outcome(High, true);
    CHECK(New.refusedArrivalShare() < 0.03);
    CHECK(New.cachedShare() > 0.95);
    CHECK(New.inTimeShare() > 0.7);
    CHECK(New.inTimeShare() > Old.inTimeShare() + 0.2);
    CHECK(New.meanWait() < Old.meanWait() / 2);
  }
}

// Guards against a breakdown when servers cannot keep all objects.
TEST_CASE("With more objects than the caches keep, a service does not break "
          "down",
          "[placementfleet]") {
  const PlacementScenario Load = scenario(12, 30, 40, 0.5);
  const PlacementOutcome Old = outcome(Load, false);
  const PlacementOutcome New = outcome(Load, true);
  CHECK(New.refusedArrivalShare() < 0.03);
  CHECK(New.cachedShare() > 0.5);
  CHECK(New.inTimeShare() > 0.3);
  CHECK(New.inTimeShare() > Old.inTimeShare() + 0.2);
}

// Guards against queues that make every request late: what cannot be done in
// time is refused before it is sent.
TEST_CASE("At 120% load, instances refuse what servers cannot do in time",
          "[placementfleet]") {
  for (const auto &[Servers, Instances] : {std::pair{12, 30}, {81, 87}}) {
    CAPTURE(Servers, Instances);
    const PlacementScenario Load = scenario(Servers, Instances, 0, 1.2);
    const PlacementOutcome Old = outcome(Load, false);
    const PlacementOutcome New = outcome(Load, true);
    CHECK(New.refusedArrivalShare() < 0.03);
    CHECK(New.refusedShare() < 0.25);
    CHECK(New.meanWait() < Old.meanWait() / 2);
    CHECK(New.inTimeShare() > Old.inTimeShare() + 0.1);
  }
}

// Guards against estimates that are off without anyone seeing it. With exact
// predictions each decile has 10%.
TEST_CASE("Predicted completion times agree with observed ones",
          "[placementfleet]") {
  for (const double Use : {0.33, 0.5}) {
    CAPTURE(Use);
    const PlacementOutcome Result = outcome(scenario(12, 30, 12, Use), true);
    const int Answers =
        std::accumulate(Result.Deciles.begin(), Result.Deciles.end(), 0);
    CHECK(Answers == Result.InTime + Result.Late);
    for (const int Count : Result.Deciles) {
      CHECK(Count > 0.04 * Answers);
      CHECK(Count < 0.2 * Answers);
    }
  }
}

TEST_CASE("Outcomes of both rules in many scenarios", "[.][placementtable]") {
  for (const auto &[Servers, Instances] : {std::pair{12, 30}, {81, 87}})
    for (const int Objects : {12, 40, 0})
      for (const double Use : {0.33, 0.5, 0.7, 0.85, 1.2})
        for (const bool ByCost : {false, true}) {
          PlacementScenario Scenario =
              scenario(Servers, Instances, Objects, Use);
          Scenario.ByCost = ByCost;
          print(Scenario);
        }
}
