#include "steering/TableFreshness.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

constexpr Clock::time_point Start{100s};

} // namespace

TEST_CASE("An instance follows the tables only when it has read each of them "
          "since it left standby",
          "[table-freshness]") {
  CHECK(followsTables({Start, Start, Start}, Start));
  CHECK_FALSE(followsTables({Start - 1ms, Start, Start}, Start));
  CHECK_FALSE(followsTables({Start, Start - 1ms, Start}, Start));
  CHECK_FALSE(followsTables({Start, Start, Start - 1ms}, Start));
  // An instance that never was a standby.
  CHECK(followsTables({Start, Start, Start}, {}));
}

TEST_CASE("A table that was read long ago makes the others no more current",
          "[table-freshness]") {
  CHECK(wereJustRead({Start, Start, Start}, Start + 500ms));
  CHECK_FALSE(wereJustRead({Start, Start - 1ms, Start}, Start + 500ms));
  CHECK(areOrdersCurrent({Start, {}, {}}, Start + 2600ms));
  CHECK_FALSE(areOrdersCurrent({Start, {}, {}}, Start + 2601ms));
}

TEST_CASE("A request reaches its server within the drain time of the rows with "
          "which it was placed",
          "[table-freshness]") {
  const TableTimes Known{{}, Start, {}};
  for (const Clock::duration DrainTime : {2000ms, 2500ms, 4000ms}) {
    CHECK(areBackendsCurrent(Known, Start + DrainTime - 600ms, DrainTime));
    CHECK_FALSE(
        areBackendsCurrent(Known, Start + DrainTime - 599ms, DrainTime));
  }
  // With a drain time below two polls, rows are still of use.
  CHECK(areBackendsCurrent(Known, Start + 400ms, 800ms));
  CHECK_FALSE(areBackendsCurrent(Known, Start + 401ms, 800ms));
}
