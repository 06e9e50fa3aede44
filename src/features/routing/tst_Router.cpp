#include "model/FleetConfig.h"
#include "routing/OwnerTable.h"
#include "routing/Router.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{1h};
using Kind = RouteDecision::Kind;

/// Instance x in zone a1 with y in the same zone; region b is 20 ms away.
struct Fixture {
  Fixture() {
    this->Config.Zones = {{"a1", "a"}, {"b1", "b"}};
    this->Config.Links = {{"a", "b", 1000000, 10ms}};
    for (int I = 0; I < 8; ++I)
      this->Config.Servers.push_back(
          {"s" + std::to_string(I), "stock", "1", "a1", "", 2, 400, false});
    this->Config.Workspaces = {{"w", 1, 1}};
  }
  void configure(std::vector<OwnerMember> Members = {{"x", "a1", "a"},
                                                     {"y", "a1", "a"}}) {
    OwnerTable Owners("x");
    Owners.update(this->Config, Members, true, Start - 1min);
    this->Routes.configure(this->Config, Owners,
                           static_cast<std::uint32_t>(Members.size()), true,
                           Start);
  }
  RouteDecision decide() {
    return this->Routes.decide(this->Request, this->Random, this->Now);
  }
  /// Takes slots until the region is full as far as x can tell.
  void fill() {
    for (;;) {
      RouteDecision Decision = this->decide();
      if (Decision.Where != Kind::Local && Decision.Where != Kind::Forward)
        break;
      this->Held.push_back(std::move(Decision));
    }
  }
  void credit(double Requests) {
    this->Routes.credits().apply({"b", "relay", "a1", "stock", Requests, 1e6},
                                 this->Now, this->Now);
    this->Now += 100ms;
  }

  FleetConfig Config;
  Router Routes{"x", "a1", "a"};
  RandomEngine Random{1};
  RouteRequest Request{"w", "stock", {},    100,   Start + 5s,
                       0,   true,    false, false, false};
  Clock::time_point Now = Start;
  std::vector<RouteDecision> Held;
};

} // namespace

// Guards against detours while own servers are free, and against forwarded
// requests that travel on to a third instance.
TEST_CASE("Own servers come first, then other owners, up to all slots") {
  Fixture Fix;
  Fix.configure();
  Fix.fill();
  bool Forwarded = false;
  for (const RouteDecision &Decision : Fix.Held) {
    CHECK_FALSE((Forwarded && Decision.Where == Kind::Local));
    Forwarded = Forwarded || Decision.Where == Kind::Forward;
  }
  CHECK(Forwarded);
  CHECK(Fix.Held.size() == 16);
  // Now the other owner has room, and the own servers have not.
  std::erase_if(Fix.Held, [](const RouteDecision &Decision) {
    return Decision.Where == Kind::Forward;
  });
  Fix.Request.Forwarded = true;
  Fix.Request.Version = "1";
  CHECK(Fix.decide().Where == Kind::Refuse);
}

// Guards against requests that are queued although they cannot be answered
// in time.
TEST_CASE("A request waits only when the wait fits its deadline") {
  Fixture Fix;
  Fix.configure();
  Fix.fill();
  const RouteDecision Waits = Fix.decide();
  CHECK(Waits.Where == Kind::Queue);
  CHECK(Waits.EstimatedWait > 0s);
  Fix.Request.Queued = 100000;
  CHECK(Fix.decide().Where == Kind::Refuse);
  Fix.Request.Queued = 0;
  Fix.Request.Deadline = Fix.Now + 1us;
  CHECK(Fix.decide().Where == Kind::Refuse);
}

// Guards against traffic across regions without credit, with free local
// servers, for a short wait, or onwards from the receiving region.
TEST_CASE("Requests leave the region only when it is full and with credit") {
  Fixture Fix;
  Fix.configure();
  Fix.credit(10);
  CHECK(Fix.decide().Where == Kind::Local);
  Fix.fill();
  Fix.Request.Queued = 1000;
  CHECK(Fix.decide().Where == Kind::Spill);
  CHECK(Fix.decide().Where == Kind::Queue);
  Fix.credit(10);
  Fix.Request.Queued = 1;
  CHECK(Fix.decide().Where == Kind::Queue);
  Fix.Request.Queued = 1000;
  Fix.Request.Spilled = true;
  CHECK(Fix.decide().Where == Kind::Queue);
  const auto Overflows = Fix.Routes.takeOverflow();
  REQUIRE(Overflows.size() == 1);
  CHECK(Overflows[0].Requests == 2);
  // A request that an owner refused counts, but only once.
  Fix.Request = {"w", "stock", {}, 100, Fix.Now + 5s, 1000, true, true};
  const bool Noted = Fix.decide().Overflowed;
  CHECK(Noted);
  Fix.Request.OverflowNoted = Noted;
  Fix.decide();
  CHECK(Fix.Routes.takeOverflow()[0].Requests == 1);
  CHECK(Fix.Routes.takeOverflow().empty());
}

// Guards against spilled requests that take the last slots from local ones.
TEST_CASE("Spilled requests leave slots to local ones") {
  Fixture Fix;
  Fix.configure({{"x", "a1", "a"}});
  Fix.Request.Spilled = true;
  Fix.fill();
  CHECK(Fix.Held.size() == 14);
  Fix.Request.Spilled = false;
  Fix.fill();
  CHECK(Fix.Held.size() == 16);
}

// Guards against a canary that gets more than its share when it has room for
// it, and against requests that are lost when it has none.
TEST_CASE("A canary gets its share while it has room") {
  Fixture Fix;
  Fix.Config.Splits = {{"stock", "1", "2", 0.25, ""}};
  Fix.Config.Servers[0].Version = "2";
  Fix.configure({{"x", "a1", "a"}});
  int Canary = 0;
  for (int Seen = 1; Seen <= 100; ++Seen) {
    const RouteDecision Decision = Fix.decide();
    REQUIRE(Decision.Where == Kind::Local);
    CHECK(Decision.Slot.server().Config.Version == Decision.Version);
    Canary += Decision.Version == "2" ? 1 : 0;
    CHECK(Canary <= Seen / 4);
  }
  CHECK(Canary == 25);
  Fix.fill();
  CHECK(Fix.Held.size() >= 14);
  Fix.Config.Splits[0].CanaryShare = 1;
  Fix.configure({{"x", "a1", "a"}});
  CHECK(Fix.decide().Where == Kind::Queue);
  Fix.Held.clear();
  CHECK(Fix.decide().Version == "2");
  // The old version has no servers any more.
  for (BackendServer &Server : Fix.Config.Servers)
    Server.Version = "2";
  Fix.configure({{"x", "a1", "a"}});
  Fix.fill();
  CHECK(Fix.decide().Where == Kind::Queue);
}

// Guards against a shift that exceeds its share, goes without credit or takes
// other workspaces along.
TEST_CASE("A traffic shift moves its share with credit only") {
  Fixture Fix;
  Fix.Config.Shifts = {{"w", "a", "b", 0.5}};
  Fix.configure();
  for (int I = 0; I < 10; ++I)
    CHECK(Fix.decide().Where == Kind::Local);
  Fix.credit(1000);
  int Moved = 0;
  for (int I = 0; I < 10; ++I)
    Moved += Fix.decide().Where == Kind::Spill ? 1 : 0;
  CHECK(Moved >= 5);
  CHECK(Moved <= 6);
  Fix.Request.Workspace = "other";
  for (int I = 0; I < 10; ++I)
    CHECK(Fix.decide().Where == Kind::Local);
}

// Guards against a peer that is asked again at once after it refused, and
// against reports that arrive out of order.
TEST_CASE("Peers are avoided after a refusal and ranked by fresh reports") {
  Fixture Fix;
  Fix.configure({{"w", "a1", "a"}, {"y", "a1", "a"}, {"z", "a1", "a"}});
  PeerLoads &Peers = Fix.Routes.peers();
  const ServiceHeadroom Full{"stock", "1", 4, 0, 10ms};
  const ServiceHeadroom Free{"stock", "1", 4, 4, 10ms};
  Peers.report("w", Full, 0s, Start);
  Peers.report("w", Free, 1s, Start);
  Peers.report("y", Free, 0s, Start);
  Peers.report("z", Full, 0s, Start);
  int AtY = 0;
  for (int I = 0; I < 100; ++I)
    AtY += Fix.decide().Peer.instance() == "y" ? 1 : 0;
  CHECK(AtY > 55);
  CHECK(AtY < 80);
  for (const char *Name : {"w", "y"})
    for (RouteDecision Decision = Fix.decide();; Decision = Fix.decide())
      if (Decision.Peer.instance() == Name) {
        Decision.Peer.noteRefusal(Start);
        break;
      }
  for (int I = 0; I < 20; ++I)
    CHECK(Fix.decide().Peer.instance() == "z");
}
