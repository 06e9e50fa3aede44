#include "membership/LeaseKeeper.h"
#include "testing/FakePlatform.h"
#include "testing/TestLoop.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

struct Holders {
  TestLoop Loop;
  FakePlatform Store;
  LeaseKeeper First{"plans", "a#1"};
  LeaseKeeper Second{"plans", "b#1"};

  void step(LeaseKeeper &Keeper) {
    const Platform Calls = this->Store.platform();
    this->Loop.spawn([&Keeper, Calls]() -> asio::awaitable<void> {
      static_cast<void>(co_await Keeper.step(Calls));
    });
    this->Loop.advance(1s);
  }

  Outcome<void> write(LeaseKeeper &Keeper, const std::string &Value) {
    Outcome<void> Result = failure(Errc::Timeout);
    const Platform Calls = this->Store.platform();
    Transaction Writes;
    Writes.Writes.push_back({RowWrite::Kind::Put, "plans/1", Value, {}});
    this->Loop.spawn([&, Calls, Writes]() -> asio::awaitable<void> {
      const std::string Probe = "plans/1";
      Result = co_await Keeper.commitFenced(Calls, Writes, Probe);
    });
    this->Loop.advance(1s);
    return Result;
  }
};

} // namespace

// Guards against two holders, and against a challenge that comes too early.
TEST_CASE("A lease that is renewed is not taken") {
  Holders Test;
  Test.step(Test.First);
  REQUIRE(Test.First.isHeld(Clock::now()));
  for (int I = 0; I < 30; ++I) {
    Test.step(Test.First);
    Test.step(Test.Second);
    CHECK(Test.First.isHeld(Clock::now()));
    CHECK_FALSE(Test.Second.isHeld(Clock::now()));
  }
  CHECK(Test.First.fence() == 1);
}

// Guards against a write by a holder that was paused past its lease, even
// when it still takes itself for the holder.
TEST_CASE("The write of a paused holder is refused") {
  Holders Test;
  Test.step(Test.First);
  // The paused holder's own clock stands still; a copy keeps that state.
  LeaseKeeper Paused = Test.First;
  Test.step(Test.Second);
  int Seconds = 1;
  for (; !Test.Second.isHeld(Clock::now()) && Seconds < 30; ++Seconds)
    Test.step(Test.Second);
  CHECK(Seconds >= 12);
  CHECK(Test.Second.fence() == 2);
  REQUIRE(Test.write(Test.Second, "second"));
  const auto Refused = Test.write(Paused, "paused");
  REQUIRE_FALSE(Refused);
  CHECK(Refused.error() == Errc::Stale);
  CHECK(Test.Store.Rows.at("plans/1").Value == "second");
}

// Guards against reliance on the own clock alone: here the holder believes
// that it holds the lease when the store has another holder.
TEST_CASE("The fence check refuses a holder that believes in its lease") {
  Holders Test;
  Test.step(Test.First);
  Test.Store.put("leases/plans", formatLease({"b#1", 2, 10s, "t"}));
  CHECK(Test.First.isHeld(Clock::now()));
  const auto Refused = Test.write(Test.First, "first");
  REQUIRE_FALSE(Refused);
  CHECK(Refused.error() == Errc::Stale);
  CHECK(Test.Store.Rows.count("plans/1") == 0);
  CHECK_FALSE(Test.First.isHeld(Clock::now()));
}

// Guards against a holder that is refused because of its own renewal.
TEST_CASE("A renewal between check and commit does not refuse the holder") {
  Holders Test;
  Test.step(Test.First);
  const std::string Own = Test.Store.Rows.at("leases/plans").Value;
  Test.Store.put("leases/plans", Own);
  CHECK(Test.write(Test.First, "first"));
}

// Guards against a validity that is counted from the answer of a slow store.
TEST_CASE("Validity counts from before the write") {
  Holders Test;
  Test.Store.Latency = 400ms;
  const Clock::time_point Start = Clock::now();
  Test.step(Test.First);
  CHECK(Test.First.isHeld(Start + 400ms + LeaseKeeper::Duration - 1ms));
  CHECK_FALSE(Test.First.isHeld(Start + 400ms + LeaseKeeper::Duration + 1ms));
}
