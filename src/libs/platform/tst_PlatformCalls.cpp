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

// Guards against a write that is reported as lost to a conflict with itself.
TEST_CASE("A write whose answer was lost is recognised as its own") {
  TestLoop Loop;
  FakePlatform Store;
  Store.LoseAnswers = 1;
  CHECK(commitOnce(Loop, Store, putIfAbsent("k", "token-1"), "k"));
  CHECK(Store.Rows.at("k").Version == 1);
}

// Guards against a lost answer that hides the write of somebody else.
TEST_CASE("A conflict with another writer stays a conflict") {
  TestLoop Loop;
  FakePlatform Store;
  Store.put("k", "token-2");
  const auto Result = commitOnce(Loop, Store, putIfAbsent("k", "token-1"), "k");
  REQUIRE_FALSE(Result);
  CHECK(Result.error() == Errc::Conflict);
}

// Guards against "not applied" being said while the store cannot be asked.
TEST_CASE("A lost answer followed by an outage is unknown") {
  TestLoop Loop;
  FakePlatform Store;
  Store.LoseAnswers = 1;
  Store.DownAfterLostAnswer = true;
  const auto Result = commitOnce(Loop, Store, putIfAbsent("k", "token-1"), "k");
  REQUIRE_FALSE(Result);
  CHECK(Result.error() == Errc::Unknown);
}

// Guards against a store outage that is taken for an unknown outcome.
TEST_CASE("A store that refuses the call had no effect") {
  TestLoop Loop;
  FakePlatform Store;
  Store.Down = true;
  const auto Result = commitOnce(Loop, Store, putIfAbsent("k", "token-1"), "k");
  REQUIRE_FALSE(Result);
  CHECK(Result.error() == Errc::Unavailable);
}

// Guards against listings that stop at the first page.
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
