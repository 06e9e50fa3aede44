#include "model/FleetConfig.h"
#include "routing/ShiftMeter.h"
#include "routing/VersionChooser.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <cstdlib>
#include <rapidcheck.h>

using namespace rr;

namespace {

// RapidCheck reads this once, at its first use.
[[maybe_unused]] const int FixedSeed =
    setenv("RC_PARAMS", "seed=1 max_success=300", 0);

int movedOf(ShiftMeter &Meter, int Requests) {
  int Moved = 0;
  for (int I = 0; I < Requests; ++I) {
    Meter.see();
    if (!Meter.mayMove())
      continue;
    Meter.move();
    ++Moved;
  }
  return Moved;
}

} // namespace

// Guards against a moment at which more than the fraction has moved, also
// when moves are not possible for a while.
TEST_CASE("A shift meter never exceeds its fraction") {
  CHECK(rc::check([] {
    const int Percent = *rc::gen::inRange(0, 101);
    ShiftMeter Meter(Percent / 100.0);
    int Moved = 0;
    for (int Seen = 1; Seen < 500; ++Seen) {
      Meter.see();
      const bool Possible = *rc::gen::inRange(0, 4) != 0;
      if (Possible && Meter.mayMove()) {
        Meter.move();
        ++Moved;
      }
      RC_ASSERT(Moved <= Percent * Seen / 100);
    }
  }));
}

// Guards against a meter that stays far below its fraction.
TEST_CASE("A shift meter reaches its fraction") {
  for (const double Fraction : {0.01, 0.05, 0.3, 0.5, 0.9, 1.0}) {
    ShiftMeter Meter(Fraction);
    CHECK(movedOf(Meter, 10000) >= std::floor(Fraction * 10000) - 1);
  }
}

// Guards against a burst of moves after a time without possible moves, and
// against credit from a higher fraction that is used at a lower one.
TEST_CASE("A shift meter keeps little credit") {
  ShiftMeter Meter(0.5);
  for (int I = 0; I < 1000; ++I)
    Meter.see();
  CHECK(movedOf(Meter, 10) <= 6);
  for (int I = 0; I < 10; ++I)
    Meter.see();
  Meter.setFraction(0.01);
  CHECK(movedOf(Meter, 99) == 0);
  CHECK(movedOf(Meter, 2) == 1);
}

// Guards against a new configuration version that gives each canary another
// request, and against a stop that the next configuration undoes.
TEST_CASE("A canary keeps its meter and stays stopped") {
  FleetConfig Config;
  Config.Splits = {{"stock", "1", "2", 0.05, ""}};
  VersionChooser Versions;
  int Moved = 0;
  for (int I = 0; I < 200; ++I) {
    Versions.configure(Config);
    Moved += movedOf(Versions.find("stock")->Meter, 1);
  }
  CHECK(Moved >= 9);
  CHECK(Moved <= 10);
  Versions.stopVersion("stock", "2");
  CHECK(movedOf(Versions.find("stock")->Meter, 100) == 0);
  Versions.configure(Config);
  CHECK(movedOf(Versions.find("stock")->Meter, 100) == 0);
}
