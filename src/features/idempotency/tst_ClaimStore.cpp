#include "base/Random.h"
#include "base/Timer.h"
#include "idempotency/ClaimRow.h"
#include "idempotency/ClaimStore.h"
#include "retry/RetryRule.h"
#include "testing/FakePlatform.h"
#include "testing/SeededProperty.h"
#include "testing/TestLoop.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace rr;
using namespace std::chrono_literals;

namespace {

using Kind = ClaimResult::Kind;

const std::string Digest = ClaimStore::requestDigest("POST", "/orders", "body");

struct Fixture {
  TestLoop Loop;
  FakePlatform Store;

  ClaimResult claim(ClaimStore &Claims,
                    const std::string &RequestDigest = Digest) {
    ClaimResult Result;
    this->Loop.spawn([&]() -> asio::awaitable<void> {
      Result = co_await Claims.claim("w", "key", RequestDigest);
    });
    this->Loop.advance(2s);
    return Result;
  }
  Outcome<void> record(ClaimStore &Claims, const Claim &HeldClaim,
                       const RecordedAnswer &Answer) {
    Outcome<void> Result = failure(Errc::Timeout);
    this->Loop.spawn([&]() -> asio::awaitable<void> {
      Result = co_await Claims.recordAnswer(HeldClaim, Answer);
    });
    this->Loop.advance(2s);
    return Result;
  }
  Outcome<void> release(ClaimStore &Claims, const Claim &HeldClaim) {
    Outcome<void> Result = failure(Errc::Timeout);
    this->Loop.spawn([&]() -> asio::awaitable<void> {
      Result = co_await Claims.release(HeldClaim);
    });
    this->Loop.advance(2s);
    return Result;
  }
};

RecordedAnswer answer(const std::string &Body) {
  return {201, {{"Content-Type", "text/plain"}}, Body};
}

} // namespace

// Guards against a wrong claim result for an open row, a completed row or a row
// of another request (table of design 4.4).
TEST_CASE("A claim result follows the state of the stored row") {
  Fixture Test;
  ClaimStore First(Test.Store.platform()), Second(Test.Store.platform());
  const auto Claimed = Test.claim(First);
  REQUIRE(Claimed.Action == Kind::Run);
  CHECK(Test.claim(Second).Action == Kind::Unknown);
  CHECK(Test.claim(Second, "other").Action == Kind::OtherRequest);
  const std::string Body("\xff\0 text", 7);
  REQUIRE(Test.record(First, Claimed.Held, answer(Body)));
  const auto Replay = Test.claim(Second);
  REQUIRE(Replay.Action == Kind::Replay);
  CHECK(Replay.Answer.Status == 201);
  CHECK(Replay.Answer.Headers == answer(Body).Headers);
  CHECK(Replay.Answer.Body == Body);
}

// Guards against two faults when the store commits a claim but its answer is
// lost: the request is not run at all, or a second attempt runs it as well.
TEST_CASE("A committed claim whose store answer is lost is still held") {
  Fixture Test;
  Test.Store.LoseAnswers = 1;
  ClaimStore First(Test.Store.platform()), Second(Test.Store.platform());
  CHECK(Test.claim(First).Action == Kind::Run);
  CHECK(Test.claim(Second).Action == Kind::Unknown);
}

// Guards against a key that stays claimed although its request was never sent:
// the store commits the claim, then fails before it answers.
TEST_CASE("A claim with unknown commit result is released after an outage") {
  Fixture Test;
  Test.Store.LoseAnswers = 1;
  Test.Store.DownAfterLostAnswer = true;
  ClaimStore First(Test.Store.platform()), Second(Test.Store.platform());
  CHECK(Test.claim(First).Action == Kind::StoreUnavailable);
  Test.Store.Down = false;
  CHECK(Test.claim(Second).Action == Kind::Unknown);
  std::size_t Remaining = 9;
  Test.Loop.spawn([&]() -> asio::awaitable<void> {
    Remaining = co_await First.retryReleases();
  });
  Test.Loop.advance(1s);
  CHECK(Remaining == 0);
  CHECK(Test.claim(Second).Action == Kind::Run);
}

// Guards against a release that frees the claim of another attempt. This could
// happen when the store commits the release, its answer is lost, another
// attempt claims the key, and the release is written again.
TEST_CASE("A release never frees the claim of another attempt") {
  Fixture Test;
  ClaimStore First(Test.Store.platform()), Second(Test.Store.platform());
  ClaimStore Third(Test.Store.platform());
  const auto Claimed = Test.claim(First);
  Test.Store.LoseAnswers = 1;
  Test.Loop.spawn(
      [&]() -> asio::awaitable<void> { co_await First.release(Claimed.Held); });
  // The clock is paused, so the retry of the release is still in its back-off.
  ClaimResult Next;
  Test.Loop.spawn([&]() -> asio::awaitable<void> {
    Next = co_await Second.claim("w", "key", Digest);
  });
  REQUIRE(Next.Action == Kind::Run);
  Test.Loop.advance(2s);
  CHECK(Test.claim(Third).Action == Kind::Unknown);
  REQUIRE(Test.release(First, Claimed.Held));
  CHECK(Test.claim(Third).Action == Kind::Unknown);
}

// Guards against oversized rows and against replaying a truncated answer.
TEST_CASE("An answer above the size limits is not recorded") {
  Fixture Test;
  ClaimStore Claims(Test.Store.platform());
  const auto Claimed = Test.claim(Claims);
  const std::string LargestBody(RecordedAnswer::MaxBodyBytes, 'x');
  CHECK(Test.record(Claims, Claimed.Held, answer(LargestBody + "x")).error() ==
        Errc::TooLarge);
  CHECK(Test.claim(Claims).Action == Kind::Unknown);
  CHECK(Test.record(Claims, Claimed.Held, answer(LargestBody)));
  CHECK(Test.claim(Claims).Answer.Body == LargestBody);
  CHECK_FALSE(parseClaimRow("{}"));
  CHECK_FALSE(parseClaimRow(R"({"state":"done","token":"t","digest":"d"})"));
}

namespace {

// Sends the same order repeatedly through four instances with injected faults.
struct Simulation {
  TestLoop Loop;
  FakePlatform Store;
  RandomEngine Engine;
  int Runs = 0;
  bool WrongNotRun = false;
  bool WrongReplay = false;

  explicit Simulation(std::uint64_t Seed) : Engine(Seed) {}

  bool chance(unsigned Percent) { return this->Engine() % 100 < Percent; }

  asio::awaitable<void> pause() {
    co_await sleepFor(std::chrono::milliseconds(this->Engine() % 100));
  }

  // Handles the order on one instance. Faults are injected before the request
  // is sent, after it is sent, and while the answer is recorded.
  asio::awaitable<void> attempt(ClaimStore &Claims) {
    co_await this->pause();
    const auto Result = co_await Claims.claim("w", "key", Digest);
    if (Result.Action == Kind::Replay && Result.Answer.Body != "ran")
      this->WrongReplay = true;
    if (Result.Action != Kind::Run)
      co_return;
    RetryBudget Budget(100);
    AttemptHistory History;
    History.HasIdempotencyKey = true;
    History.Deadline = Clock::now() + 10s;
    bool Ran = false;
    for (auto Next = RetryDecision::Retry; Next == RetryDecision::Retry;) {
      Budget.addRequest();
      co_await this->pause();
      const bool Sent = this->chance(50);
      History.MayHaveBeenSent = History.MayHaveBeenSent || Sent;
      if (Sent && this->chance(70)) {
        ++this->Runs;
        Ran = true;
      }
      if (Ran && this->chance(60)) {
        RecordedAnswer Answer = answer("ran");
        co_await Claims.recordAnswer(Result.Held, Answer);
        co_return;
      }
      Next = decideRetry(History, Budget, Clock::now());
      ++History.Attempts;
      if (Next != RetryDecision::RefuseNotRun)
        continue;
      this->WrongNotRun = this->WrongNotRun || Ran;
      co_await Claims.release(Result.Held);
    }
  }

  void run() {
    std::vector<std::unique_ptr<bool>> Partitions;
    std::vector<std::unique_ptr<ClaimStore>> Claims;
    for (int I = 0; I < 4; ++I) {
      Partitions.push_back(std::make_unique<bool>(false));
      Claims.push_back(std::make_unique<ClaimStore>(
          this->Store.platform(&*Partitions.back())));
    }
    this->Store.Latency = 5ms;
    for (int Round = 0; Round < 8; ++Round) {
      this->Store.LoseAnswers = static_cast<int>(this->Engine() % 4);
      this->Store.DownAfterLostAnswer = this->chance(30);
      for (const auto &Partitioned : Partitions)
        *Partitioned = this->chance(15);
      for (const auto &Store : Claims) {
        this->Loop.spawn([this, &Store]() -> asio::awaitable<void> {
          co_await this->attempt(*Store);
        });
        this->Loop.spawn([&Store]() -> asio::awaitable<void> {
          co_await Store->retryReleases();
        });
      }
      this->Loop.advance(300ms);
      this->Store.Down = this->chance(20);
      this->Loop.advance(400ms);
      this->Store.Down = false;
    }
    for (const auto &Partitioned : Partitions)
      *Partitioned = false;
    this->Loop.advance(5s);
  }
};

} // namespace

// Guards against an order that runs twice, and against `not_run` for an order
// that ran, under concurrent repeats, lost store answers, partitions and
// outages.
TEST_CASE("Concurrent repeats of an order run it at most once") {
  int Executed = 0;
  checkSeeded(20260704, 150, [&Executed](std::uint64_t Seed) {
    Simulation Order(Seed);
    Order.run();
    Executed += Order.Runs;
    RC_ASSERT(Order.Runs <= 1);
    RC_ASSERT(!Order.WrongNotRun);
    RC_ASSERT(!Order.WrongReplay);
  });
  CHECK(Executed > 75);
}
