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
  // Members behind relays, far regions, and rounds that do not coincide.
  SimFleet Fleet(8, 3, 4);
  Fleet.Latency = 35ms;
  for (std::size_t I = 0; I < 8; ++I) {
    Fleet.start(I);
    Fleet.advance(350ms);
  }
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

// Guards against a process that serves by an old proof after a pause, before
// it reads its messages.
TEST_CASE("A paused instance has no proof when it goes on") {
  SimFleet Fleet(6, 3);
  Fleet.advance(5s);
  Fleet.Instances[3].State = Process::Paused;
  Fleet.withdraw(0, "key1");
  Fleet.advance(6s);
  REQUIRE(Fleet.Withdrawals[0].AcceptedAt);
  Fleet.Instances[3].State = Process::Running;
  CHECK(Fleet.ask(3, "key1") == Verdict::StaleView);
  Fleet.check();
  Fleet.advance(3s);
  CHECK(Fleet.ask(3, "key1") == Verdict::Withdrawn);
  CHECK(Fleet.allServe("key0"));
  CHECK(Fleet.Violation.empty());
}

// Guards against a cut-off zone that goes on by its copy, and against one
// that does not come back.
TEST_CASE("A zone without peers and store refuses until it is back") {
  SimFleet Fleet(6, 3);
  Fleet.advance(5s);
  for (std::size_t I = 4; I < 6; ++I) {
    Fleet.Instances[I].Group = 1;
    Fleet.Instances[I].StoreCut = true;
  }
  Fleet.withdraw(0, "key1");
  Fleet.advance(6s);
  CHECK(Fleet.ask(4, "key1") == Verdict::StaleView);
  CHECK(Fleet.ask(0, "key0") == Verdict::Accepted);
  for (std::size_t I = 4; I < 6; ++I) {
    Fleet.Instances[I].Group = 0;
    Fleet.Instances[I].StoreCut = false;
  }
  Fleet.advance(3s);
  CHECK(Fleet.ask(4, "key1") == Verdict::Withdrawn);
  CHECK(Fleet.allServe("key0"));
  CHECK(Fleet.Violation.empty());
  CHECK(Fleet.LongestServed > 0s);
}

// Guards against acknowledgements that are asked for once only.
TEST_CASE("A push is repeated until a lost member is back") {
  SimFleet Fleet(6, 3);
  Fleet.advance(5s);
  Fleet.Store.Down = true;
  Fleet.Instances[5].Group = 1;
  Fleet.withdraw(0, "key1");
  Fleet.advance(6s);
  const KeyHash Hash = hashOfKey("key1");
  auto Report = Fleet.Instances[0].Node->withdrawalReport(Hash);
  REQUIRE(Report);
  CHECK_FALSE(Report->isAccepted());
  REQUIRE(Report->Missing.size() == 1);
  CHECK(Report->Missing[0].Instance == "i5");
  // The silent member ends proof B everywhere, until it is declared lost.
  CHECK(Fleet.ask(0, "key0") == Verdict::StaleView);
  Fleet.Instances[5].Group = 0;
  Fleet.advance(3s);
  Report = Fleet.Instances[0].Node->withdrawalReport(Hash);
  CHECK(Report->InForce);
  CHECK(Fleet.allServe("key0"));
}

// Guards against keyed traffic that stays stopped after a host was lost.
TEST_CASE("Without the store an ended process and a lost host do not count") {
  SimFleet Fleet(6, 3);
  Fleet.advance(5s);
  Fleet.Store.Down = true;
  Fleet.end(2);
  Fleet.advance(6s);
  CHECK(Fleet.allServe("key0"));
  Fleet.end(4, true);
  Fleet.advance(6s);
  CHECK(Fleet.ask(0, "key0") == Verdict::StaleView);
  Fleet.Instances[0].Node->members().declareLost("i4");
  Fleet.advance(3s);
  CHECK(Fleet.allServe("key0"));
}

// Guards against news of a member that stays in one zone.
TEST_CASE("A leaving member is known everywhere within a few rounds") {
  SimFleet Fleet(6, 3);
  Fleet.advance(5s);
  Fleet.Instances[5].Node->members().setOwnState(MemberState::Leaving);
  Fleet.advance(4s);
  for (std::size_t I = 0; I < 6; ++I)
    CHECK(Fleet.Instances[I].Node->members().find("i5")->Record.State ==
          MemberState::Leaving);
  CHECK(Fleet.allServe("key0"));
}
