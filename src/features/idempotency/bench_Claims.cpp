// Counts the store reads and writes of an order in each case.
#include "idempotency/ClaimStore.h"
#include "testing/FakePlatform.h"
#include "testing/TestLoop.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>

using namespace rr;
using namespace std::chrono_literals;

namespace {

struct Bench {
  TestLoop Loop;
  FakePlatform Store;
  ClaimStore Claims{Store.platform()};
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;

  ClaimResult claim() {
    ClaimResult Result;
    this->run([&]() -> asio::awaitable<void> {
      Result = co_await this->Claims.claim("w", "key", "digest");
    });
    return Result;
  }
  void record(const Claim &HeldClaim) {
    this->run([&]() -> asio::awaitable<void> {
      RecordedAnswer Answer;
      Answer.Status = 201;
      co_await this->Claims.recordAnswer(HeldClaim, Answer);
    });
  }
  void release(const Claim &HeldClaim) {
    this->run([&]() -> asio::awaitable<void> {
      co_await this->Claims.release(HeldClaim);
    });
  }
  void run(std::function<asio::awaitable<void>()> Task) {
    this->Loop.spawn(std::move(Task));
    this->Loop.advance(2s);
  }
  void report(const char *Label) {
    std::printf(
        "%-32s %llu writes, %llu reads\n", Label,
        static_cast<unsigned long long>(this->Store.Writes - this->Writes),
        static_cast<unsigned long long>(this->Store.Reads - this->Reads));
    this->Writes = this->Store.Writes;
    this->Reads = this->Store.Reads;
  }
};

} // namespace

int main() {
  Bench Bench;
  auto HeldClaim = Bench.claim().Held;
  Bench.report("claim");
  Bench.release(HeldClaim);
  Bench.report("release");
  HeldClaim = Bench.claim().Held;
  Bench.report("claim of a released key");
  Bench.claim();
  Bench.report("repeat while it runs");
  Bench.record(HeldClaim);
  Bench.report("record the answer");
  Bench.claim();
  Bench.report("repeat after it ran");
  Bench.Store.Rows.clear();
  Bench.Store.LoseAnswers = 1;
  Bench.claim();
  Bench.report("claim, answer lost");
  return 0;
}
