#include "steering/NewestConfiguration.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point T0{100s};

} // namespace

// Guards against an instance that knows of a newer configuration and answers by
// its older one.
TEST_CASE("An older configuration is not used after a newer one was seen",
          "[configuration]") {
  NewestConfiguration Seen;
  CHECK_FALSE(Seen.isNewerThan(0, T0));
  CHECK(Seen.record(5, T0));
  CHECK(Seen.isNewerThan(3, T0 - 1ms));
  CHECK(Seen.isNewerThan(3, T0 - 1ns));
  CHECK_FALSE(Seen.isNewerThan(5, T0 - 10s));
  CHECK_FALSE(Seen.isNewerThan(6, T0 - 10s));
  // An older or repeated version changes nothing.
  CHECK_FALSE(Seen.record(4, T0 + 9s));
  CHECK_FALSE(Seen.record(5, T0 + 9s));
  CHECK(Seen.version() == 5);
  CHECK_FALSE(Seen.isNewerThan(3, T0 + 1s));
}

// Guards against an instance that refuses all requests until it restarts,
// because the operator went back to a lower version.
TEST_CASE("An older configuration is used if the orders that were read later "
          "name no newer one",
          "[configuration]") {
  NewestConfiguration Seen;
  Seen.record(5, T0);
  CHECK(Seen.isNewerThan(3, T0 - 1ns));
  // The version was in force before it was seen, so a read that began then
  // would have found it.
  CHECK_FALSE(Seen.isNewerThan(3, T0));
  Seen.record(6, T0 + 2s);
  CHECK(Seen.isNewerThan(3, T0 + 1s));
}
