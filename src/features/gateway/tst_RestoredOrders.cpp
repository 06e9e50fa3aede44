#include "gateway/RestoreBed.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// A third server stands in zone y-a, which is not evacuated.
struct OrderBed : RestoreBed {
  OrderBed() { this->addBackend("b3", "y-a"); }

  bool isEvacuated() {
    return this->Instance->state().EvacuatedZones.count("z-a") > 0;
  }
  std::string target() {
    const auto &Versions = this->Instance->state().Versions;
    const auto Found = Versions.find("stock");
    return Found == Versions.end() || !Found->second.currentOrder()
               ? ""
               : Found->second.currentOrder()->Target;
  }
};

} // namespace

// Guards against requests to an evacuated zone after the store lost the order.
TEST_CASE("An evacuation that is missing in the copy stays in force until it "
          "is written again",
          "[restore]") {
  OrderBed B;
  B.takeCopy();
  B.Tables.put("orders", "z-a", "");
  B.Tables.put("backends", "b3", B.Backends.at("b3").Address + " y-a ready");
  B.advance(2s);
  REQUIRE(B.sentTo("b3", 1s) == 12);
  B.restore();
  CHECK(B.sentTo("b3", 1800ms) == 12);
  B.Tables.put("orders", "z-a", "");
  CHECK(B.sentTo("b3", 8s) == 12);
}

// Guards against a zone that stays out of use because its evacuation was
// withdrawn when the store had lost it.
TEST_CASE("An evacuation that is missing in the copy and is not written again "
          "has ended",
          "[restore]") {
  OrderBed B;
  B.takeCopy();
  B.Tables.put("orders", "z-a", "");
  B.advance(2s);
  B.restore();
  B.advance(1s);
  CHECK(B.isEvacuated());
  B.advance(3s);
  CHECK_FALSE(B.isEvacuated());
}

TEST_CASE("An evacuation whose end was lost holds until it is removed again",
          "[restore]") {
  OrderBed B;
  B.Tables.put("orders", "z-a", "");
  B.takeCopy();
  B.advance(1s);
  B.Tables.erase("orders", "z-a");
  B.advance(2s);
  REQUIRE_FALSE(B.isEvacuated());
  B.restore();
  B.advance(1s);
  CHECK(B.isEvacuated());
  B.Tables.erase("orders", "z-a");
  B.advance(500ms);
  CHECK_FALSE(B.isEvacuated());
}

TEST_CASE("An evacuation outlasts two restores within five seconds",
          "[restore]") {
  OrderBed B;
  B.takeCopy();
  B.Tables.put("orders", "z-a", "");
  B.advance(2s);
  SECTION("not written between them") {
    B.restore();
    B.advance(1500ms);
  }
  SECTION("written between them") {
    B.restore();
    B.advance(1500ms);
    B.Tables.put("orders", "z-a", "");
    B.advance(2s);
  }
  B.restore();
  B.advance(1800ms);
  CHECK(B.isEvacuated());
  B.Tables.put("orders", "z-a", "");
  B.advance(8s);
  CHECK(B.isEvacuated());
}

// Guards against an earlier roll-out that begins anew.
TEST_CASE("A roll-out order of the copy does not replace a later one that the "
          "store lost",
          "[restore]") {
  OrderBed B;
  B.Tables.put("orders", "version", "v2");
  B.takeCopy();
  B.advance(1s);
  B.Tables.put("orders", "version", "v3");
  B.advance(2s);
  REQUIRE(B.target() == "v3");
  B.restore();
  B.advance(1800ms);
  CHECK(B.target() == "v3");
  B.Tables.put("orders", "version", "v3");
  B.advance(8s);
  CHECK(B.target() == "v3");
}

TEST_CASE("A roll-out order outlasts two restores within five seconds",
          "[restore]") {
  OrderBed B;
  B.Tables.put("orders", "version", "v2");
  B.takeCopy();
  B.advance(1s);
  B.Tables.put("orders", "version", "v3");
  B.advance(2s);
  SECTION("not written between them") {
    B.restore();
    B.advance(1500ms);
  }
  SECTION("written between them") {
    B.restore();
    B.advance(1500ms);
    B.Tables.put("orders", "version", "v3");
    B.advance(2s);
  }
  B.restore();
  B.advance(1800ms);
  CHECK(B.target() == "v3");
}

// Guards against an operator's order that is never followed.
TEST_CASE("A roll-out order that is written anew after a restore is followed "
          "at once",
          "[restore]") {
  OrderBed B;
  B.Tables.put("orders", "version", "v2");
  B.takeCopy();
  B.Tables.put("orders", "version", "v3");
  B.advance(2s);
  B.restore();
  B.advance(1s);
  B.Tables.put("orders", "version", "v4");
  B.advance(200ms);
  CHECK(B.target() == "v4");
}

TEST_CASE("A roll-out order that was written before the first read of a new "
          "era is followed when the time to write again is over",
          "[restore]") {
  OrderBed B;
  B.Tables.put("orders", "version", "v2");
  B.takeCopy();
  B.writeElsewhere(50);
  B.Tables.put("orders", "version", "v3");
  B.advance(2s);
  B.restore();
  B.Tables.put("orders", "version", "v4");
  B.advance(5s);
  CHECK(B.target() == "v4");
}

TEST_CASE("A roll-out order of the copy that is newer than the known one is "
          "followed at once",
          "[restore]") {
  OrderBed B;
  B.Tables.put("orders", "version", "v2");
  B.advance(2s);
  B.Tables.Down = true;
  B.Tables.put("orders", "version", "v3");
  B.takeCopy();
  B.restore();
  B.advance(1s);
  CHECK(B.target() == "v3");
}

namespace {

/// The configuration 2 withdraws the key.
struct KeyBed : RestoreBed {
  KeyBed() { this->takeCopy(); }
};

/// Within which a key that was taken away must be refused.
constexpr Clock::duration RevocationTime = 5s;
/// Within which the operator writes again what the store lost.
constexpr Clock::duration OperatorWritesWithin = 2s;

} // namespace

TEST_CASE("A key stays refused when the store lost the configuration that "
          "withdrew it",
          "[restore]") {
  KeyBed B;
  B.configure(2, {"other"});
  B.advance(2s);
  B.restore();
  for (int Second = 0; Second < 6; ++Second) {
    CHECK_FALSE(hasStatus(B.request("GET", "/safe/x", "key"), 200));
    B.advance(1s);
  }
  CHECK(hasStatus(B.request("GET", "/safe/x", "key"), 401));
  CHECK(hasStatus(B.request("GET", "/safe/x", "other"), 200));
}

// Guards against reads of a copy that extend the trust in a key, although the
// copy lacks the configuration that withdrew it.
TEST_CASE("An instance that has not read the configuration that withdrew a key "
          "refuses the key in time although the store has lost it",
          "[restore]") {
  KeyBed B;
  // The instance cannot read the orders, but the operator can write.
  B.Tables.DownTables = {"orders"};
  const Clock::time_point Withdrawn = Clock::now();
  B.configure(2, {"other"});
  B.advance(3600ms);
  B.Tables.DownTables.clear();
  B.restore();
  const Clock::time_point Returned = Clock::now();
  while (Clock::now() < Withdrawn + RevocationTime)
    B.advance(10ms);
  CHECK_FALSE(hasStatus(B.request("GET", "/safe/x", "key"), 200));
  while (Clock::now() < Returned + OperatorWritesWithin)
    B.advance(10ms);
  CHECK_FALSE(hasStatus(B.request("GET", "/safe/x", "key"), 200));
  B.configure(2, {"other"});
  B.advance(500ms);
  CHECK(hasStatus(B.request("GET", "/safe/x", "key"), 401));
  CHECK(hasStatus(B.request("GET", "/safe/x", "other"), 200));
}

TEST_CASE("Keys stay valid through a restore that takes a moment",
          "[restore]") {
  KeyBed B;
  B.restore();
  for (int Step = 0; Step < 20; ++Step) {
    CHECK(hasStatus(B.request("GET", "/safe/x", "key"), 200));
    B.advance(500ms);
  }
}

TEST_CASE("A configuration that is written again under another store version "
          "changes nothing, and the next one is adopted",
          "[restore]") {
  KeyBed B;
  B.configure(5, {"other"});
  B.advance(2s);
  B.restore();
  B.advance(1s);
  B.writeElsewhere(30);
  B.configure(5, {"other"});
  B.advance(500ms);
  CHECK(hasStatus(B.request("GET", "/safe/x", "other"), 200));
  B.configure(6, {"newest"});
  B.advance(500ms);
  CHECK(hasStatus(B.request("GET", "/safe/x", "newest"), 200));
  CHECK(hasStatus(B.request("GET", "/safe/x", "other"), 401));
}
