#include "base/Digest.h"
#include "instance/InstanceFleet.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rr;
using namespace std::chrono_literals;

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
