#include "gateway/SoakFleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <numeric>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// First and last seed; SOAK_SEEDS=FIRST-LAST plays others.
std::pair<unsigned, unsigned> soakSeeds() {
  unsigned First = 1;
  unsigned Last = 4;
  if (const char *const Text = std::getenv("SOAK_SEEDS"))
    if (std::sscanf(Text, "%u-%u", &First, &Last) != 2)
      std::abort();
  return {First, Last};
}

std::string joinLines(const std::vector<std::string> &Lines) {
  return std::accumulate(Lines.begin(), Lines.end(), std::string(),
                         [](std::string Text, const std::string &Line) {
                           return std::move(Text) + Line + "\n";
                         });
}

} // namespace

// Guards against requests that run twice, run after a refusal, run with a
// withdrawn key or beyond the rate, go to servers that leave, or get answers
// of others, while instances, servers and the store fail at random; and
// against a fleet that does not serve again when the faults are over.
TEST_CASE("All promises hold through random faults of instances, servers and "
          "store, and service returns",
          "[soak]") {
  const auto [First, Last] = soakSeeds();
  for (unsigned Seed = First; Seed <= Last; ++Seed) {
    SoakFleet Fleet(Seed);
    Fleet.runWithFaults(40s);
    Fleet.runWithoutFaults(12s);
    const Clock::time_point From = Clock::now();
    Fleet.runWithoutFaults(4s);
    Fleet.finish();
    CAPTURE(Seed, Fleet.sent());
    INFO(joinLines(Fleet.faults()));
    INFO(joinLines(Fleet.violations()));
    CHECK(Fleet.violations().empty());
    CHECK(Fleet.servedShareSince(From) > 0.97);
  }
}
