#include "gateway/FleetTestBed.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// One instance and two servers that report their load with each answer.
struct CostBed : FleetTestBed {
  explicit CostBed(PlaceByCost ByCost = PlaceByCost::Auto)
      : FleetTestBed(1, ByCost) {
    this->addServer("s0");
    this->addServer("s1");
    this->advance(2s);
  }

  void report(const std::string &Server, const std::string &Load) {
    this->Servers.at(Server).AnswerHeaders = {{"Load", Load}};
  }
  std::size_t arrivals(const std::string &Server) const {
    return this->Servers.at(Server).Arrivals.size();
  }
  const SteeringState &state() const {
    return this->Instances.front()->state();
  }
  bool usesCost() const { return this->state().ByCost.hasWorkFactors("stock"); }
  /// Requests that placement by cost takes for running.
  std::size_t runningRequests() const {
    std::size_t Result = 0;
    for (const BackendPtr &Server : this->state().Backends.all())
      Result += Server->Backlog.Own.size();
    return Result;
  }
  /// Sends requests one after the other.
  void run(int Requests) {
    for (int Index = 0; Index < Requests; ++Index)
      CHECK(this->request(0, "/safe/x").Status == 200);
  }
};

} // namespace

// Guards against a fourth figure that is not read, or has no effect.
TEST_CASE("Requests go to the machine that is not slow at this moment",
          "[gateway]") {
  CostBed Bed;
  Bed.report("s0", "1,0,4,100");
  Bed.report("s1", "1,0,4,100");
  Bed.run(10);
  CHECK(Bed.usesCost());
  const std::string Slow =
      Bed.arrivals("s0") > Bed.arrivals("s1") ? "s0" : "s1";
  const std::string Other = Slow == "s0" ? "s1" : "s0";
  Bed.report(Slow, "1,0,4,250");
  Bed.run(1);
  const std::size_t Before = Bed.arrivals(Other);
  Bed.run(4);
  CHECK(Bed.arrivals(Other) >= Before + 3);
  CHECK(Bed.state().Backends.find(Slow)->Backlog.WorkFactor == 2.5);
}

TEST_CASE("Services whose servers do not report the speed are placed as before",
          "[gateway]") {
  CostBed Bed;
  Bed.report("s0", "1,0,4");
  Bed.report("s1", "1,0,4");
  Bed.run(5);
  CHECK_FALSE(Bed.usesCost());
}

TEST_CASE("A speed that makes no sense changes nothing", "[gateway]") {
  CostBed Bed;
  for (const char *Load : {"1,0,4,0", "1,0,4,x", "1,0,4,-5", "1,0,4,1e9"}) {
    Bed.report("s0", Load);
    Bed.report("s1", Load);
    Bed.run(2);
  }
  CHECK_FALSE(Bed.usesCost());
  for (const char *Id : {"s0", "s1"})
    CHECK(Bed.state().Backends.find(Id)->Backlog.WorkFactor == 1);
}

TEST_CASE("Placement by cost can be turned off", "[gateway]") {
  CostBed Bed(PlaceByCost::Off);
  Bed.report("s0", "1,0,4,100");
  Bed.report("s1", "1,0,4,100");
  Bed.run(5);
  CHECK_FALSE(Bed.usesCost());
}

// Guards against running requests that are counted for ever.
TEST_CASE("Placement by cost counts a request until it is answered",
          "[gateway]") {
  CostBed Bed(PlaceByCost::On);
  const auto Sent = Bed.send(0, "/safe/x");
  Bed.advance(20ms);
  CHECK(Bed.runningRequests() == 1);
  Bed.advance(1s);
  CHECK(Sent->Status == 200);
  CHECK(Bed.runningRequests() == 0);
}
