#include "base/Timer.h"
#include "peerlink/MessageBody.h"
#include "tables/RelayTestBed.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// A reader and a follower whose store comes back from a copy after "row" was
/// written.
struct RestoredRelay : RelayTestBed {
  RestoredRelay() {
    this->Tables.put("t", "row", "before the copy");
    this->advance(2s);
    this->BeforeLoss = this->Tables.copy();
    this->Tables.put("t", "row", "lost");
    this->writeOthers(40);
    this->advance(2s);
  }
  void restore() {
    this->Tables.Down = true;
    this->advance(500ms);
    this->Tables.restore(*this->BeforeLoss);
    this->Tables.Down = false;
  }
  void writeOthers(int Count) {
    for (int Item = 0; Item < Count; ++Item)
      this->Tables.put("other", "row", std::to_string(Item));
  }

  std::shared_ptr<const FakeTables::Copy> BeforeLoss;
};

} // namespace

TEST_CASE("A follower reads rows that are written after the store came back "
          "from an older copy",
          "[relay][restore]") {
  RestoredRelay Bed;
  REQUIRE(Bed.Second.Seen.at("row") == "lost");
  Bed.restore();
  Bed.Tables.put("t", "row", "new");
  SECTION("while the store's numbers are below those of before") {}
  SECTION("while the store gives out the numbers of before again") {
    Bed.writeOthers(100);
  }
  Bed.advance(2500ms);
  CHECK(Bed.First.Seen.at("row") == "new");
  CHECK(Bed.Second.Seen.at("row") == "new");
}

// Guards against a follower that takes rows of the era before from a reader
// which has not heard of the new era.
TEST_CASE("A follower in a new era does not follow a reader that is still in "
          "the one before",
          "[relay][restore]") {
  RestoredRelay Bed;
  bool Cut = true;
  const auto Read = Bed.First.Direct.ReadChanges;
  Bed.First.Direct.ReadChanges = [&](std::string Table, StoreVersion After,
                                     Clock::duration Wait) {
    if (!Cut)
      return Read(std::move(Table), After, Wait);
    return [](StoreVersion Known) -> asio::awaitable<Outcome<TableRows>> {
      co_await sleepFor(1s);
      TableRows Rows;
      Rows.Version = Known;
      co_return Rows;
    }(After);
  };
  Bed.Second.Peer.reset();
  Bed.restore();
  Bed.advance(2s);
  REQUIRE(Bed.Second.Watch.version().Era == 1);
  REQUIRE(Bed.First.Watch.version().Era == 0);
  Bed.Second.Peer =
      RelayPeer{"first", "127.0.0.1:" + std::to_string(Bed.First.Links.port())};
  Bed.advance(2s);
  Bed.Tables.put("t", "row", "new");
  Bed.advance(2500ms);
  CHECK(Bed.Second.Seen.at("row") == "new");
  Cut = false;
  Bed.advance(7s);
  CHECK(Bed.First.Seen.at("row") == "new");
}

TEST_CASE("Answers between instances name the era of their rows",
          "[relay][restore]") {
  RelayAnswer Sent;
  Sent.Rows.Version = {3, 9};
  Sent.Rows.Rows = {{"a", "1", {3, 8}, false}};
  const auto Received = decodeRelayAnswer(encodeRelayAnswer(Sent));
  REQUIRE(Received);
  CHECK(Received->HasEra);
  CHECK(Received->Rows.Version == Sent.Rows.Version);
  CHECK(Received->Rows.Rows.at(0).Version == StoreVersion(3, 8));
}

// Guards against links that fail during a rolling upgrade.
TEST_CASE("Messages of a release that does not know eras are read, and the "
          "other way round",
          "[relay][restore]") {
  // Exactly these fields are accepted by that release.
  const auto Query = decodeBody(encodeRelayQuery({"t", 7}));
  REQUIRE(Query);
  CHECK(*Query == nlohmann::json::array({"t", 7}));
  // It reads the first four fields of an answer, and sends no others.
  RelayAnswer Sent;
  Sent.Rows.Version = {3, 9};
  auto Answer = decodeBody(encodeRelayAnswer(Sent));
  REQUIRE(Answer);
  CHECK((*Answer)[0] == 9);
  Answer->erase(4);
  const auto Received = decodeRelayAnswer(encodeBody(*Answer));
  REQUIRE(Received);
  CHECK_FALSE(Received->HasEra);
  CHECK(Received->Rows.Version.Number == 9);
}

// Guards against a burst of whole reads at the store when all instances hear of
// a new era in the same moment.
TEST_CASE("After a restore a follower reads the table through its reader",
          "[relay][restore]") {
  RestoredRelay Bed;
  int WholeReads = 0;
  for (RelayReader *Item : {&Bed.First, &Bed.Second}) {
    const auto Read = Item->Direct.ReadTable;
    Item->Direct.ReadTable = [Read, &WholeReads](std::string Table) {
      ++WholeReads;
      return Read(std::move(Table));
    };
  }
  const std::uint64_t Before = Bed.Second.Relay.relayedReads();
  Bed.advance(3s);
  REQUIRE(Bed.Second.Relay.relayedReads() > Before);
  Bed.Tables.restore(*Bed.BeforeLoss);
  Bed.Tables.put("t", "row", "new");
  Bed.advance(2500ms);
  CHECK(Bed.First.Seen.at("row") == "new");
  CHECK(Bed.Second.Seen.at("row") == "new");
  CHECK(WholeReads == 1);
}

// Guards against whole reads by standbys, which ask less often than the reader
// keeps changes.
TEST_CASE("A follower reads changes from the store when its reader no longer "
          "has them",
          "[relay]") {
  RelayTestBed Bed;
  int WholeReads = 0;
  const auto Read = Bed.Second.Direct.ReadTable;
  Bed.Second.Direct.ReadTable = [Read, &WholeReads](std::string Table) {
    ++WholeReads;
    return Read(std::move(Table));
  };
  Bed.Second.Watch.setIntervals(1s, 30s);
  for (int Step = 0; Step < 30; ++Step) {
    Bed.Tables.put("t", "row" + std::to_string(Step), "1");
    Bed.advance(1s);
  }
  Bed.advance(5s);
  CHECK(Bed.Second.Seen.size() == 30);
  CHECK(WholeReads == 0);
}

namespace {

/// Another instance that gives the same table to each query.
struct TablePeer {
  TablePeer(TestLoop &Loop, RelayAnswer Known, bool WithEra)
      : Links(Loop.context(), {"peer", "z", "127.0.0.1:0"}) {
    for (const char *Method : {"changes", "snapshot"})
      this->Links.onCall(Method, [Known, WithEra, Method](IncomingCall Call) {
        auto Fields = decodeBody(encodeRelayAnswer(Known));
        if (!WithEra)
          Fields->erase(4);
        Call.Answer(Message{Method, encodeBody(*Fields)});
      });
    this->Links.start("secret");
  }
  ~TablePeer() { this->Links.stop(); }
  RelayPeer address() const {
    return {"peer", "127.0.0.1:" + std::to_string(this->Links.port())};
  }

  PeerLinks Links;
};

/// A table with the row "row" of the era before, which was read \p Age ago.
RelayAnswer lostTable(Clock::duration Age) {
  RelayAnswer Answer;
  Answer.Rows.Version = {0, 500};
  Answer.Rows.Rows = {{"row", "of the lost era", {0, 500}, false}};
  Answer.AsOfOffset = -Age;
  return Answer;
}

} // namespace

// Guards against rows of a lost era that are followed for good during a rolling
// upgrade.
TEST_CASE("A follower in a later era takes no changes from a release that does "
          "not know eras",
          "[relay][restore]") {
  RestoredRelay Bed;
  Bed.restore();
  Bed.advance(2s);
  REQUIRE(Bed.Second.Watch.version().Era == 1);
  TablePeer Peer(Bed.Loop, lostTable(0ms), false);
  Bed.Second.Peer = Peer.address();
  Bed.Tables.put("t", "row", "new");
  Bed.advance(8s);
  CHECK(Bed.Second.Seen.at("row") == "new");
}

TEST_CASE("A starting instance takes no whole table from a release that does "
          "not know eras",
          "[relay][restore]") {
  RestoredRelay Bed;
  Bed.restore();
  TablePeer Peer(Bed.Loop, lostTable(0ms), false);
  RelayReader Third(Bed.Loop, "third", Bed.Tables.tables(),
                    {[] { return true; }, [&] { return Peer.address(); }});
  Bed.advance(2s);
  CHECK(Third.Seen.at("row") == "before the copy");
  CHECK(Third.Watch.version().Era == 1);
  Third.Watch.stop();
  Third.Links.stop();
  Bed.advance(3s);
}

// Guards against a standby that takes a table of the era before, and waits for
// its next polling period with it.
TEST_CASE("A whole table that another instance read before the history was "
          "lost is not taken",
          "[relay][restore]") {
  RestoredRelay Bed;
  TablePeer Peer(Bed.Loop, lostTable(900ms), true);
  bool ThroughPeer = false;
  RelayReader Third(
      Bed.Loop, "third", Bed.Tables.tables(),
      {[&] { return ThroughPeer; }, [&] { return Peer.address(); }});
  Bed.advance(2s);
  REQUIRE(Third.Seen.at("row") == "lost");
  ThroughPeer = true;
  Bed.restore();
  Bed.advance(2500ms);
  CHECK(Third.Seen.at("row") == "before the copy");
  CHECK(Third.Watch.version().Era == 1);
  Third.Watch.stop();
  Third.Links.stop();
  Bed.advance(3s);
}
