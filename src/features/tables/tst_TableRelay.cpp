#include "tables/BootTime.h"
#include "tables/RelayTestBed.h"

#include <catch2/catch.hpp>

#include <set>

using namespace rr;
using namespace std::chrono_literals;

// Guards against all instances reading the same changes from the store.
TEST_CASE("An instance receives changes and removals that another one reads",
          "[relay]") {
  RelayTestBed Fixture;
  Fixture.SecondReads = 0;
  Fixture.Tables.put("t", "a", std::string("\xff\x00 not text", 11));
  Fixture.Tables.put("t", "b", "2");
  Fixture.advance(1200ms);
  CHECK(Fixture.Second.Seen == Fixture.First.Seen);
  CHECK(Fixture.Second.Seen.size() == 2);
  Fixture.Tables.erase("t", "b");
  Fixture.advance(1200ms);
  CHECK(Fixture.Second.Seen.size() == 1);
  CHECK(Fixture.SecondReads == 0);
  CHECK(Fixture.Second.Relay.relayedReads() > 1);
}

// Guards against changes that arrive two periods late because the follower's
// next query arrives just after the reader has answered the pending ones.
TEST_CASE("A change reaches the follower with the reader's next read",
          "[relay]") {
  RelayTestBed Fixture;
  for (int Step = 0; Step < 20; ++Step) {
    Fixture.Tables.put("t", "a", std::to_string(Step));
    Fixture.advance(1150ms);
    CHECK(Fixture.Second.Seen.at("a") == std::to_string(Step));
  }
}

// Guards against a follower that keeps using an instance that cannot read the
// store.
TEST_CASE("The store is read directly when the other instance cannot read it",
          "[relay]") {
  RelayTestBed Fixture;
  Fixture.First.Direct.ReadChanges =
      [](std::string, StoreVersion,
         Clock::duration) -> asio::awaitable<Outcome<TableRows>> {
    co_return failure(Errc::Unavailable);
  };
  Fixture.advance(1s);
  Fixture.SecondReads = 0;
  Fixture.Tables.put("t", "a", "1");
  Fixture.advance(1500ms);
  CHECK(Fixture.Second.Seen.count("a"));
  CHECK(Fixture.SecondReads > 0);
}

// Guards against a follower that waits for an instance that has terminated or
// no longer answers.
TEST_CASE("The store is read directly when the other instance does not answer",
          "[relay]") {
  RelayTestBed Fixture;
  Fixture.First.Watch.stop();
  Fixture.advance(1s);
  Fixture.Tables.put("t", "a", "1");
  Fixture.advance(2500ms);
  CHECK(Fixture.Second.Seen.count("a"));
  Fixture.First.Links.stop();
  Fixture.Tables.put("t", "b", "1");
  Fixture.advance(1500ms);
  CHECK(Fixture.Second.Seen.count("b"));
}

// Guards against chains of instances that wait for each other, and against
// changes that are lost when a follower starts to read the store itself.
TEST_CASE("An instance that follows another one is not followed itself",
          "[relay]") {
  RelayTestBed Fixture;
  RelayReader Third(Fixture.Loop, "third", Fixture.Tables.tables());
  Third.Peer = RelayPeer{
      "second", "127.0.0.1:" + std::to_string(Fixture.Second.Links.port())};
  Fixture.advance(1s);
  Fixture.Tables.put("t", "a", "1");
  Fixture.advance(1500ms);
  CHECK(Third.Seen.count("a"));
  CHECK(Third.Relay.relayedReads() == 0);
  Fixture.Second.Peer.reset();
  Fixture.Tables.put("t", "b", "1");
  Fixture.advance(6s);
  Fixture.Tables.put("t", "c", "1");
  Fixture.advance(1500ms);
  CHECK(Third.Seen == Fixture.First.Seen);
  CHECK(Third.Relay.relayedReads() > 0);
  Third.Watch.stop();
  Third.Links.stop();
  Fixture.advance(3s);
}

// Guards against a standby that treats relayed, outdated entries as current.
TEST_CASE("A read with no wait time goes to the store", "[relay]") {
  RelayTestBed Fixture;
  Fixture.SecondReads = 0;
  Fixture.Tables.put("t", "a", "1");
  bool Done = false;
  Fixture.Loop.spawn([&]() -> asio::awaitable<void> {
    Done = co_await Fixture.Second.Watch.refresh();
  });
  Fixture.Loop.run();
  CHECK(Done);
  CHECK(Fixture.SecondReads == 1);
  CHECK(Fixture.Second.Seen.count("a"));
  Fixture.advance(2s);
  CHECK(Fixture.Second.Seen.at("a") == "1");
}

// Guards against load on the store when every instance of a fleet reads each
// table in full at start.
TEST_CASE("Whole tables are read once for several instances that can wait",
          "[relay]") {
  RelayTestBed Fixture;
  Fixture.Tables.put("t", "a", "1");
  const RelayPeer Source{
      "first", "127.0.0.1:" + std::to_string(Fixture.First.Links.port())};
  std::vector<std::unique_ptr<RelayReader>> Readers;
  int DirectReads = 0;
  for (int Index = 0; Index < 4; ++Index) {
    auto Item = std::make_unique<RelayReader>(
        Fixture.Loop, "r" + std::to_string(Index), Fixture.Tables.tables(),
        TableRelay::SnapshotSource{[] { return true; },
                                   [Source] { return Source; }});
    Item->Direct.ReadTable =
        [](std::string) -> asio::awaitable<Outcome<TableRows>> {
      co_return failure(Errc::Unavailable);
    };
    Item->Direct.ReadChanges =
        [&DirectReads](std::string, StoreVersion,
                       Clock::duration) -> asio::awaitable<Outcome<TableRows>> {
      ++DirectReads;
      co_return failure(Errc::Unavailable);
    };
    Item->Peer = Source;
    Readers.push_back(std::move(Item));
  }
  // A table that changes continuously, like that of the backend servers.
  for (int Step = 0; Step < 30; ++Step) {
    Fixture.Tables.put("t", "b", std::to_string(Step));
    Fixture.advance(150ms);
  }
  // The instances do not read the store while their links are being
  // established either.
  CHECK(DirectReads == 0);
  for (const auto &Item : Readers) {
    CHECK(Item->Seen.count("a"));
    CHECK(std::stoi(Item->Seen["b"]) > 20);
    Item->Watch.stop();
    Item->Links.stop();
  }
  Fixture.advance(5s);
}

// Guards against an instance that never starts because the instance that it
// queries for a table does not answer.
TEST_CASE("A whole table is read directly when no other instance has it",
          "[relay]") {
  RelayTestBed Fixture;
  Fixture.Tables.put("t", "a", "1");
  RelayReader Third(Fixture.Loop, "third", Fixture.Tables.tables(),
                    {[] { return true; },
                     [] {
                       return RelayPeer{"nobody", "127.0.0.1:1"};
                     }});
  Fixture.advance(4s);
  CHECK(Third.Seen.count("a"));
  Third.Watch.stop();
  Third.Links.stop();
  Fixture.advance(3s);
}

// Guards against keys that are accepted for longer than they were known to be
// valid: relayed rows must carry the time up to which the reader knew them to
// be complete, however late they arrive.
TEST_CASE("Relayed rows are no more current than the reader knew them to be",
          "[relay]") {
  RelayTestBed Fixture;
  for (int Step = 0; Step < 40; ++Step) {
    Fixture.Tables.put("t", "a", std::to_string(Step));
    Fixture.advance(150ms);
    CHECK(Fixture.Second.Confirmed <= Fixture.First.Confirmed);
    CHECK(bootTime() - Fixture.Second.Confirmed < 2500ms);
  }
  // The store stops answering the reader; the confirmed time must not advance
  // at either instance.
  Fixture.First.Direct.ReadChanges =
      [](std::string, StoreVersion,
         Clock::duration) -> asio::awaitable<Outcome<TableRows>> {
    co_return failure(Errc::Unavailable);
  };
  Fixture.Second.Direct.ReadChanges = Fixture.First.Direct.ReadChanges;
  Fixture.advance(300ms);
  const Clock::time_point Known = Fixture.First.Confirmed;
  Fixture.advance(6s);
  CHECK(Fixture.Second.Confirmed <= Known);
}

// Guards against orders that arrive one read later than necessary because a
// query that arrives after a change waits for the reader's next read.
TEST_CASE("Known changes are relayed immediately for tables that are read "
          "without a pause",
          "[relay]") {
  RelayTestBed Fixture;
  Fixture.First.Relay.setImmediateRelay("t");
  std::uint64_t Before = 0;
  for (int Step = 0; Step < 10; ++Step) {
    // Two changes in a row; the second one comes while the follower's next
    // query is on its way.
    Fixture.Tables.put("t", "a", std::to_string(Step));
    Fixture.advance(50ms);
    Fixture.Tables.put("t", "b", std::to_string(Step));
    Fixture.advance(1200ms);
    CHECK(Fixture.Second.Seen.at("b") == std::to_string(Step));
    CHECK(Fixture.Second.Relay.relayedReads() > Before);
    Before = Fixture.Second.Relay.relayedReads();
  }
}

// Guards against malformed data from a peer that terminates the process.
TEST_CASE("Malformed relay messages are rejected", "[relay]") {
  CHECK_FALSE(decodeRelayQuery("x"));
  CHECK_FALSE(decodeRelayAnswer("x"));
  CHECK_FALSE(decodeRelayAnswer(encodeRelayQuery({"t", 1})));
  CHECK_FALSE(decodeRelayQuery(encodeRelayAnswer({})));
  // Rows that claim to be current for years, or times that overflow.
  for (const Clock::duration Odd :
       {Clock::duration(2h), Clock::duration::max(), Clock::duration::min()}) {
    RelayAnswer Answer;
    Answer.AsOfOffset = Odd;
    CHECK_FALSE(decodeRelayAnswer(encodeRelayAnswer(Answer)));
  }
  RelayAnswer Late;
  Late.Rows.StoreTime = Clock::duration::max();
  CHECK_FALSE(decodeRelayAnswer(encodeRelayAnswer(Late)));
  Late.Rows.StoreTime = 5s;
  Late.AsOfOffset = -48h;
  CHECK(decodeRelayAnswer(encodeRelayAnswer(Late)));
}

// Guards against an odd row that keeps the others from reaching an instance
// that reads through another one.
TEST_CASE("Rows with any bytes are relayed unchanged", "[relay]") {
  RelayAnswer Sent;
  Sent.Rows.Version = {3, 9};
  for (const std::string &Odd :
       {std::string(), std::string("\0", 1), std::string("\xFF\xFE"),
        std::string(65'536, '['), std::string(65'536, '\x9F'),
        std::string("{\"a\":1e999}")})
    Sent.Rows.Rows.push_back({Odd.substr(0, 200), Odd, {3, 7}, false});
  const auto Received = decodeRelayAnswer(encodeRelayAnswer(Sent));
  REQUIRE(Received);
  REQUIRE(Received->Rows.Rows.size() == Sent.Rows.Rows.size());
  for (std::size_t Index = 0; Index < Sent.Rows.Rows.size(); ++Index) {
    CHECK(Received->Rows.Rows[Index].Key == Sent.Rows.Rows[Index].Key);
    CHECK(Received->Rows.Rows[Index].Value == Sent.Rows.Rows[Index].Value);
  }
}

TEST_CASE("An order reaches a follower within 2 s when the instance that reads "
          "for it falls silent",
          "[relay]") {
  RelayTestBed Fixture;
  const TableWatch::Options Orders{"op", TableRelay::longPollTime(2s), 0ms};
  std::set<std::string> Seen;
  const auto Record = [&Seen](const TableRows &Rows) {
    for (const TableRow &Row : Rows.Rows)
      Seen.insert(Row.Key);
  };
  const auto Ignore = [](const TableRows &) {};
  TableWatch First(Fixture.Loop.context(), Fixture.First.Store, Orders,
                   {Ignore, Ignore, nullptr});
  TableWatch Second(Fixture.Loop.context(), Fixture.Second.Store, Orders,
                    {Record, Record, nullptr});
  for (TableWatch *Watch : {&First, &Second})
    Fixture.Loop.spawn(
        [Watch]() -> asio::awaitable<void> { co_await Watch->run(); });
  Fixture.advance(3s);
  // The reader answers once more and then no longer.
  First.stop();
  Fixture.Tables.put("op", "before", "1");
  Fixture.advance(100ms);
  REQUIRE(Seen.count("before"));
  Fixture.Tables.put("op", "after", "1");
  Fixture.advance(2s);
  CHECK(Seen.count("after"));
  Second.stop();
  Fixture.advance(5s);
}
