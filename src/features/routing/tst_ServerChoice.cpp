#include "routing/LoadHint.h"
#include "routing/ServerChoice.h"

#include <catch2/catch.hpp>
#include <map>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{1h};

std::vector<ServerPtr> group(int Count) {
  std::vector<ServerPtr> Result;
  for (int I = 0; I < Count; ++I) {
    Result.push_back(std::make_shared<ServerState>());
    Result.back()->Config.Name = std::to_string(I);
    Result.back()->Config.Slots = 4;
    Result.back()->Owned = true;
    Result.back()->Latency.record(10ms, Start);
  }
  return Result;
}

std::map<std::string, int> spread(const std::vector<ServerPtr> &Servers) {
  RandomEngine Random(1);
  std::map<std::string, int> Counts;
  for (int I = 0; I < 1000; ++I)
    if (const ServerPtr Server =
            chooseServer(Servers, Ejection::Health::Healthy, Random, Start))
      ++Counts[Server->Config.Name];
  return Counts;
}

} // namespace

// Guards against a choice that ignores own counts, latency or failures, and
// against one that sends everything to a single best server.
TEST_CASE("The better of two random servers is chosen") {
  auto Servers = group(4);
  auto Counts = spread(Servers);
  for (const ServerPtr &Server : Servers)
    CHECK(std::abs(Counts[Server->Config.Name] - 250) < 100);
  SECTION("busy") { Servers[0]->Outstanding = 3; }
  SECTION("slow") {
    for (int I = 0; I < 50; ++I)
      Servers[0]->Latency.record(100ms, Start);
  }
  SECTION("failing") {
    for (int I = 0; I < 4; ++I)
      Servers[0]->Health.record(RequestOutcome::Failure, false, Start);
  }
  Counts = spread(Servers);
  CHECK(Counts["0"] == 0);
  for (const char *Name : {"1", "2", "3"})
    CHECK(Counts[Name] > 200);
}

// Guards against a choice that misses the last server with a free slot.
TEST_CASE("A single free slot is found") {
  auto Servers = group(10);
  for (const ServerPtr &Server : Servers)
    Server->Outstanding = Server == Servers[7] ? 3 : 4;
  CHECK(spread(Servers)["7"] == 1000);
  Servers[7]->Outstanding = 4;
  CHECK(spread(Servers).empty());
}

// Guards against reports that count after their time or without bounds.
TEST_CASE("Load reports weigh within bounds and age out") {
  LoadHint Hint;
  CHECK(Hint.factor(Start) == 1);
  Hint.report(0, 0.2, false, Start);
  CHECK(Hint.factor(Start + 2s) == 0.5);
  CHECK(Hint.factor(Start + 3s) == 1);
  Hint.report(50, 0.2, false, Start);
  CHECK(Hint.factor(Start) == 2);
  CHECK_FALSE(Hint.isDistrusted(Start));
}

// Guards against a server that draws requests by reporting a low load.
TEST_CASE("A report that contradicts own observations is ignored for 30 s") {
  LoadHint Busy;
  Busy.report(0, 0.9, false, Start);
  CHECK(Busy.factor(Start) == 1);
  Busy.report(0.9, 0.9, false, Start + 29s);
  CHECK(Busy.factor(Start + 29s) == 1);
  CHECK(Busy.factor(Start + 30s) > 1);
  LoadHint Slow;
  Slow.report(0.1, 0.1, true, Start);
  CHECK(Slow.factor(Start) == 1);
}
