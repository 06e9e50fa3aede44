#include "steering/ProcessingTimes.h"
#include "steering/ReturningCallerDetector.h"
#include "steering/SplitChooser.h"
#include "steering/SteeringConfig.h"
#include "steering/SteeringTestBed.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

TEST_CASE("The longest prefix of the path selects the route", "[config]") {
  SteeringConfig Config;
  SteeringRoute Long = testRoute();
  Long.Name = "long";
  Long.PathPrefix = "/a/b/";
  SteeringRoute Short = testRoute();
  Short.Name = "short";
  Short.PathPrefix = "/a/";
  Config.RoutesByHost["host.example"] = {Long, Short};
  CHECK(findRoute(Config, "host.example", "/a/b/c?q=/a/")->Name == "long");
  CHECK(findRoute(Config, "HOST.example:80", "/a/x")->Name == "short");
  CHECK_FALSE(findRoute(Config, "host.example", "/a"));
  CHECK_FALSE(findRoute(Config, "host.example", "/?x=/a/"));
  CHECK_FALSE(findRoute(Config, "other.example", "/a/"));
}

TEST_CASE("Every sequence of requests is split close to the weights",
          "[config]") {
  SteeringRoute Route = testRoute();
  Route.Split = {{"a", 90}, {"b", 10}, {"never", 0}};
  SplitChooser Splits;
  std::map<std::string, int> Counts;
  for (int Index = 0; Index < 50; ++Index)
    ++Counts[Splits.choose(Route)];
  CHECK(Counts["a"] == 45);
  CHECK(Counts["b"] == 5);
  CHECK(Counts.count("never") == 0);
}

TEST_CASE("A caller with less time left than others of its route is detected "
          "as retrying",
          "[config]") {
  ReturningCallerDetector Callers;
  CHECK_FALSE(Callers.isReturning("a", 3s));
  CHECK_FALSE(Callers.isReturning("a", 3s));
  CHECK(Callers.isReturning("a", 2s));
  CHECK_FALSE(Callers.isReturning("b", 2s));
}

TEST_CASE("A new route starts with the processing times of its service",
          "[work]") {
  ProcessingTimes Work;
  SteeringRoute Known = testRoute();
  for (int Index = 0; Index < 200; ++Index)
    Work.recordAnswer(Known, "stock", CacheAffinity::HomeUsed, 100ms, 1000);
  SteeringRoute New = testRoute();
  New.Name = "new";
  CHECK(Work.estimateFor(New, "stock").Hit < 150ms);
  CHECK(Work.estimateFor(New, "other").Hit == 200ms);
}

TEST_CASE("Hits and misses are told apart and their share is learned",
          "[work]") {
  ProcessingTimes Work;
  const SteeringRoute Route = testRoute();
  for (int Index = 0; Index < 400; ++Index) {
    Work.recordAnswer(Route, "stock", CacheAffinity::HomeUsed, 180ms, 1000);
    Work.recordAnswer(Route, "stock", CacheAffinity::Other, 640ms, 1000);
  }
  const ProcessingTimes::Estimate Learned = Work.estimateFor(Route, "stock");
  CHECK(std::chrono::abs(Learned.Hit - 180ms) < 10ms);
  CHECK(std::chrono::abs(Learned.Miss - 640ms) < 20ms);
  CHECK(Learned.hitShare(CacheAffinity::HomeUsed) > 0.9);
  CHECK(Learned.hitShare(CacheAffinity::Other) < 0.1);
}
