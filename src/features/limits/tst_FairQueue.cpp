#include "limits/FairQueue.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{};

void fill(FairQueue &Queue, const std::string &Workspace, int Requests) {
  for (int I = 0; I < Requests; ++I)
    REQUIRE(Queue.push({std::uint64_t(I), Workspace, Start + 1h}, Start));
}

std::map<std::string, int> served(FairQueue &Queue, int Requests) {
  std::map<std::string, int> Result;
  std::vector<QueuedRequest> Expired;
  for (int I = 0; I < Requests; ++I)
    if (const auto Next = Queue.pop(Start, Expired))
      ++Result[Next->Workspace];
  return Result;
}

} // namespace

// A workspace must not take all slots, or the whole queue.
TEST_CASE("Slots are divided by weight and queues are bounded") {
  FairQueue Queue(400);
  Queue.setWeight("large", 30);
  Queue.setWeight("small", 10);
  fill(Queue, "large", 400);
  fill(Queue, "small", 400);
  CHECK(Queue.push({9, "large", Start + 1h}, Start).error() ==
        Errc::LimitReached);
  CHECK(served(Queue, 200) ==
        std::map<std::string, int>{{"large", 150}, {"small", 50}});
  CHECK(served(Queue, 1000).size() == 2);
  CHECK(Queue.size() == 0);
}

// A workspace with a small weight must not wait many rounds for its first
// request, nor exceed its weight by alternating between idle and active.
TEST_CASE("A low-weight workspace is served soon, not above its weight") {
  FairQueue Queue(400);
  Queue.setWeight("heavy", 50);
  Queue.setWeight("light", 1);
  fill(Queue, "heavy", 400);
  int Light = 0;
  for (int I = 0; I < 300; ++I) {
    if (Queue.size() + std::size_t(I) == std::size_t(400 + Light))
      fill(Queue, "light", 1);
    Light += served(Queue, 1)["light"];
    if (I == 1)
      CHECK(Light == 1);
  }
  CHECK(Light <= 1 + 300 / 50 + 1);
}

// No work must be done for requests whose callers have given up.
TEST_CASE("Requests that cannot meet their deadline are dropped") {
  FairQueue Queue(100);
  std::vector<QueuedRequest> Expired;
  fill(Queue, "w", 20);
  for (auto Time = 0ms; Time < 100ms; Time += 10ms)
    REQUIRE(Queue.pop(Start + Time, Expired));
  const auto Now = Start + 100ms;
  CHECK(Queue.estimatedWait("w", Now) == 100ms);
  CHECK(Queue.push({50, "w", Now + 99ms}, Now).error() == Errc::Timeout);
  REQUIRE(Queue.push({51, "w", Now + 101ms}, Now));
  REQUIRE(Queue.push({52, "w", Now + 1h}, Now));
  // The estimate grows while the service accepts no requests.
  CHECK(Queue.estimatedWait("w", Now + 10s) > 100s);
  for (int I = 0; I < 10; ++I)
    REQUIRE(Queue.pop(Now + 200ms, Expired)->Id < 50);
  CHECK(Queue.pop(Now + 200ms, Expired)->Id == 52);
  REQUIRE(Expired.size() == 1);
  CHECK(Expired[0].Id == 51);
}

// Slots must not go to requests whose callers have disconnected.
TEST_CASE("A cancelled request is not dispatched") {
  FairQueue Queue(10);
  fill(Queue, "a", 1);
  fill(Queue, "b", 2);
  CHECK(Queue.cancel("a", 0));
  CHECK_FALSE(Queue.cancel("a", 0));
  CHECK(Queue.cancel("b", 0));
  CHECK(served(Queue, 5) == std::map<std::string, int>{{"b", 1}});
}
