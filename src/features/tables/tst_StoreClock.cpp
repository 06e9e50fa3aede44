#include "tables/StoreClock.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point T0{100s};

} // namespace

// Guards against a resumed instance that writes an old time into its row: the
// others take the row for an expired one.
TEST_CASE("An answer that waited while the process was suspended does not set "
          "the estimate back",
          "[watch]") {
  StoreClock Estimate;
  CHECK(Estimate.at(T0) == 0s);
  Estimate.record(50s, T0);
  CHECK(Estimate.at(T0 + 7s) == 57s);
  Estimate.record(52s, T0 + 7s);
  CHECK(Estimate.at(T0 + 7s) == 57s);
  Estimate.record(60s, T0 + 9s);
  CHECK(Estimate.at(T0 + 9s) == 60s);
}

TEST_CASE("The estimate follows a store whose clock was set back", "[watch]") {
  StoreClock Estimate;
  Estimate.record(50s, T0);
  for (int Answer = 0; Answer < 8; ++Answer)
    Estimate.record(40s, T0);
  CHECK(Estimate.at(T0) == 40s);
}
