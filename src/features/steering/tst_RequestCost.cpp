#include "base/Random.h"
#include "steering/CostModel.h"
#include "steering/RequestCost.h"
#include "steering/SteeringTestBed.h"

#include <catch2/catch.hpp>

#include <cmath>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// Cached work takes 0.3 s, cold work 1 s; 3% take seven times as long.
RequestCost testCost(double HitShare) {
  return {Seconds(0.3), Seconds(1), HitShare, 0.03, 7, 0.15};
}

/// Feeds a route's answers to a model.
struct Learner {
  Learner() {
    this->Query.Route = &this->Route;
    this->Query.Service = "stock";
  }

  /// Records \p Count answers that take \p Usual with a spread of 15%, 3% of
  /// them seven times as long.
  void record(int Count, Seconds Usual, CacheAffinity Affinity) {
    std::normal_distribution<> Normal(0, 0.15);
    for (int Index = 0; Index < Count; ++Index) {
      Seconds Work = Usual * std::exp(Normal(this->Random));
      if (this->Random() % 100 < 3)
        Work *= 7;
      this->Model.record(this->Query, Affinity, Work, 1000);
    }
  }

  RequestCost cost(CacheAffinity Affinity) const {
    return costAt(this->Model.routeCost(this->Route, "stock"), this->Query,
                  this->Model.correction(this->Query), Affinity);
  }

  SteeringRoute Route = testRoute();
  PlacementQuery Query;
  CostModel Model;
  RandomEngine Random{1};
};

} // namespace

// Guards against requests that hold a slot for long being counted as nearly
// done.
TEST_CASE("A request that has run longer than usual has much work left",
          "[cost]") {
  const RequestCost Cost = testCost(1);
  const RemainingWork Fresh = remainingWork(Cost, Seconds(0));
  CHECK(Fresh.Mean.count() == Approx(meanWork(Cost).count()));
  CHECK(Fresh.HeavyShare == Approx(0.03));
  const RemainingWork Usual = remainingWork(Cost, Seconds(0.2));
  CHECK(Usual.Mean < Fresh.Mean);
  const RemainingWork Late = remainingWork(Cost, Seconds(0.5));
  CHECK(Late.HeavyShare > 0.95);
  CHECK(Late.Mean > 1.5s);
  // Longer than any case explains: it grows with the age.
  CHECK(remainingWork(Cost, Seconds(5)).Mean.count() == Approx(5));
}

TEST_CASE("A request that may be cold is not taken for a heavy one at the age "
          "of cold work",
          "[cost]") {
  CHECK(remainingWork(testCost(0.5), Seconds(0.6)).HeavyShare < 0.1);
}

TEST_CASE("The predicted distribution rises from 0 to 1 around the work",
          "[cost]") {
  const RequestCost Cost = testCost(1);
  CHECK(completionShare(Cost, Seconds(0), Seconds(0.1)) < 0.01);
  CHECK(completionShare(Cost, Seconds(0), Seconds(0.3)) ==
        Approx(0.485).margin(0.02));
  CHECK(completionShare(Cost, Seconds(0), Seconds(1)) ==
        Approx(0.97).margin(0.01));
  CHECK(completionShare(Cost, Seconds(0), Seconds(10)) > 0.99);
  CHECK(completionShare(Cost, Seconds(0.3), Seconds(0.3)) < 0.3);
}

TEST_CASE("Cached, cold and heavy work are told apart", "[cost]") {
  Learner L;
  L.Query.Object = 5;
  for (int Round = 0; Round < 50; ++Round) {
    L.record(18, Seconds(0.2), CacheAffinity::HomeUsed);
    L.record(2, Seconds(0.66), CacheAffinity::HomeUsed);
    L.record(10, Seconds(0.66), CacheAffinity::Other);
  }
  const RequestCost Home = L.cost(CacheAffinity::HomeUsed);
  CHECK(Home.Hit.count() == Approx(0.2).epsilon(0.1));
  CHECK(Home.Miss.count() == Approx(0.66).epsilon(0.1));
  CHECK(Home.HitShare == Approx(0.9).margin(0.09));
  CHECK(L.cost(CacheAffinity::Other).HitShare < 0.12);
  CHECK(Home.HeavyShare == Approx(0.03).margin(0.015));
  CHECK(Home.HeavyFactor == Approx(7).epsilon(0.25));
  CHECK(Home.Spread == Approx(0.15).margin(0.04));
}

// Guards against a correction from a few observations.
TEST_CASE("An object's own cost counts as far as it is known", "[cost]") {
  Learner L;
  L.Route.Sticky = false;
  for (std::uint64_t Object = 1; Object < 200; ++Object) {
    L.Query.Object = Object;
    L.record(5, Seconds(0.5), CacheAffinity::Other);
  }
  L.Query.Object = 1000;
  const Seconds Usual = L.cost(CacheAffinity::Other).Miss;
  L.record(2, Usual * 1.5, CacheAffinity::Other);
  CHECK(L.cost(CacheAffinity::Other).Miss / Usual < 1.12);
  L.record(60, Usual * 1.5, CacheAffinity::Other);
  CHECK(L.cost(CacheAffinity::Other).Miss / Usual > 1.25);
}

TEST_CASE("The table of corrections stays bounded and forgets what is no "
          "longer asked for",
          "[cost]") {
  CostCorrections Table(4);
  for (int Index = 0; Index < 20; ++Index)
    Table.record(1, 1.5);
  CHECK(Table.ratio(1) > 1.2);
  CHECK(Table.ratio(5) == 1);
  for (int Index = 0; Index < 20; ++Index)
    Table.record(5, 0.7);
  CHECK(Table.ratio(1) == 1);
  CHECK(Table.ratio(5) < 0.9);
}
