#include "SimFleet.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;
using Verdict = Authentication::Verdict;
using Process = SimFleet::Process;

// Guards against a fleet that cannot start, and against restarted instances
// that never get a proof.
TEST_CASE("A fleet starts cold and a restarted instance joins again") {
  SimFleet Fleet(6, 3);
  CHECK(Fleet.ask(0, "key0") == Verdict::StaleView);
  Fleet.advance(5s);
  CHECK(Fleet.allServe("key0"));
  Fleet.start(3);
  CHECK(Fleet.ask(3, "key0") == Verdict::StaleView);
  Fleet.advance(4s);
  CHECK(Fleet.allServe("key0"));
}

// Guards against proof B that lapses between two rounds of messages.
TEST_CASE("A store outage alone does not stop keyed traffic") {
  SimFleet Fleet(6, 3);
  Fleet.advance(5s);
  Fleet.Store.Down = true;
  bool AlwaysServed = true;
  for (int I = 0; I < 1200; ++I) {
    Fleet.advance(50ms);
    AlwaysServed = AlwaysServed && Fleet.allServe("key0");
  }
  CHECK(AlwaysServed);
  Fleet.withdraw(0, "key1");
  Fleet.advance(1s);
  const auto Report =
      Fleet.Instances[0].Node->withdrawalReport(hashOfKey("key1"));
  REQUIRE(Report);
  CHECK(Report->InForce);
  CHECK_FALSE(Report->Durable);
  CHECK(Fleet.ask(5, "key1") == Verdict::Withdrawn);
  Fleet.end(0);
  Fleet.Store.Down = false;
  Fleet.advance(2s);
  CHECK(Fleet.Store.Rows.at("keys/" + toHex(hashOfKey("key1")))
            .Value.find("\"withdrawn\":true") != std::string::npos);
  CHECK(Fleet.Instances[4].Node->keys().pending().empty());
}
