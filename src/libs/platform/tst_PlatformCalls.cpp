#include "platform/PlatformCalls.h"
#include "testing/FakePlatform.h"
#include "testing/TestLoop.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

Transaction putIfAbsent(const std::string &Key, const std::string &Value) {
  return {{{RowWrite::Kind::Put, Key, Value, RowWrite::Absent}}};
}

Outcome<void> commitOnce(TestLoop &Loop, FakePlatform &Store,
                         const Transaction &Writes, const std::string &Probe) {
  Outcome<void> Result = failure(Errc::Timeout);
  const Platform Calls = Store.platform();
  Loop.spawn([&]() -> asio::awaitable<void> {
    Result = co_await commitVerified(Calls, Writes, Probe);
  });
  Loop.advance(30s);
  return Result;
}

} // namespace

// Guards against a write that is reported as a conflict because the retry after
// a lost answer conflicts with the first attempt.
TEST_CASE("A retried write recognises its own first attempt") {
  TestLoop Loop;
  FakePlatform Store;
  Store.LoseAnswers = 1;
  CHECK(commitOnce(Loop, Store, putIfAbsent("k", "token-1"), "k"));
  CHECK(Store.Rows.at("k").Version == 1);
}

// Guards against reporting success when another writer wrote the row.
TEST_CASE("A conflict with another writer stays a conflict") {
  TestLoop Loop;
  FakePlatform Store;
  Store.put("k", "token-2");
  const auto Result = commitOnce(Loop, Store, putIfAbsent("k", "token-1"), "k");
  REQUIRE_FALSE(Result);
  CHECK(Result.error() == Errc::Conflict);
}

// Guards against reporting "no effect" when the answer was lost and the store
// cannot be read.
TEST_CASE("A lost answer followed by an outage is unknown") {
  TestLoop Loop;
  FakePlatform Store;
  Store.LoseAnswers = 1;
  Store.DownAfterLostAnswer = true;
  const auto Result = commitOnce(Loop, Store, putIfAbsent("k", "token-1"), "k");
  REQUIRE_FALSE(Result);
  CHECK(Result.error() == Errc::Unknown);
}

// Guards against reporting an unknown outcome when no attempt reached the
// store.
TEST_CASE("A write that never reached the store is reported as unavailable") {
  TestLoop Loop;
  FakePlatform Store;
  Store.Down = true;
  const auto Result = commitOnce(Loop, Store, putIfAbsent("k", "token-1"), "k");
  REQUIRE_FALSE(Result);
  CHECK(Result.error() == Errc::Unavailable);
}

// Guards against listings that stop after the first page.
TEST_CASE("Listing reads all pages") {
  TestLoop Loop;
  FakePlatform Store;
  for (int I = 0; I < 1200; ++I)
    Store.put("p/" + std::to_string(I), "{}");
  std::size_t Count = 0;
  const Platform Calls = Store.platform();
  Loop.spawn([&]() -> asio::awaitable<void> {
    const auto Rows = co_await listRows(Calls, "p/");
    Count = Rows ? Rows->size() : 0;
  });
  Loop.advance(1s);
  CHECK(Count == 1200);
}
