#include "base/JsonNumbers.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rr;

// Guards against a row that looks older than it is: a test of the written time
// failed for some readings of the clock, 1 ns below the value.
TEST_CASE("Seconds are read back as the time that was written") {
  for (Clock::rep Count = 4'285'753'227'859; Count < 4'285'753'327'859;
       Count += 97) {
    const Clock::duration Written(Count);
    const nlohmann::json Value = {
        {"at", std::chrono::duration<double>(Written).count()}};
    Clock::duration Read{};
    REQUIRE(readSeconds(Value, "at", Read));
    REQUIRE(Read == Written);
  }
}
