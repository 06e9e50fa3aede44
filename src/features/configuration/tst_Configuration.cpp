#include "base/Digest.h"
#include "configuration/ConfigProposal.h"
#include "configuration/ConfigStore.h"
#include "configuration/ConfigTransfer.h"
#include "configuration/FleetBarrier.h"
#include "membership/MemberTable.h"
#include "membership/Timing.h"
#include "model/FleetConfigJson.h"
#include "testing/FakePlatform.h"
#include "testing/TestLoop.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

FleetConfig withWorkspace(const std::string &Name, std::uint64_t Version = 0) {
  FleetConfig Result;
  Result.Version = Version;
  Result.Workspaces.push_back({Name, 10, 5});
  return Result;
}

ProposalResult propose(TestLoop &Loop, FakePlatform &Store, std::uint64_t Base,
                       const FleetConfig &Next) {
  ProposalResult Result;
  ConfigProposal Proposal;
  Proposal.BaseVersion = Base;
  Proposal.Next = Next;
  const Platform Calls = Store.platform();
  Loop.spawn([&, Calls]() -> asio::awaitable<void> {
    Result = co_await proposeChange(Calls, Proposal);
  });
  Loop.advance(5s);
  return Result;
}

Outcome<bool> adopt(ConfigStore &Store, const FleetConfig &Config) {
  const std::string Text = formatFleetConfig(Config);
  return Store.adopt(Config.Version, sha256Hex(Text), Text);
}

Outcome<bool> adoptFromStore(TestLoop &Loop, FakePlatform &Store,
                             ConfigStore &Copy) {
  Outcome<bool> Result = failure(Errc::Timeout);
  const Platform Calls = Store.platform();
  Loop.spawn([&, Calls]() -> asio::awaitable<void> {
    const auto View = co_await readHead(Calls);
    if (View)
      Result = co_await Copy.adoptFromStore(Calls, View->Head);
  });
  Loop.advance(5s);
  return Result;
}

} // namespace

// Guards against concurrent proposals with the same base version that are both
// reported as successful.
TEST_CASE(
    "Of concurrent proposals one succeeds and the others get the changes") {
  TestLoop Loop;
  FakePlatform Store;
  Store.Latency = 20ms;
  REQUIRE(propose(Loop, Store, 0, withWorkspace("first")).Version);
  std::vector<ProposalResult> Results(4);
  const Platform Calls = Store.platform();
  for (std::size_t I = 0; I < Results.size(); ++I)
    Loop.spawn([&, I]() -> asio::awaitable<void> {
      ConfigProposal Proposal;
      Proposal.BaseVersion = 1;
      Proposal.Next = withWorkspace("w" + std::to_string(I));
      Results[I] = co_await proposeChange(Calls, Proposal);
    });
  Loop.advance(5s);
  int Winners = 0;
  for (const ProposalResult &Item : Results) {
    Winners += Item.Version ? 1 : 0;
    if (Item.Version)
      continue;
    CHECK(Item.Version.error() == Errc::Conflict);
    CHECK(Item.Details.size() == 2);
  }
  CHECK(Winners == 1);
  ConfigStore Copy;
  CHECK(adoptFromStore(Loop, Store, Copy));
  CHECK(Copy.version() == 2);
}

// Guards against a change that is lost, or reported as lost, because a key
// change rewrites the same row or the response to the commit is lost.
TEST_CASE("A change survives other writers of the head and a lost response") {
  TestLoop Loop;
  FakePlatform Store;
  ControlHead Head;
  Head.Versions.Keys = 7;
  Store.put("control/head", formatControlHead(Head));
  Store.LoseAnswers = 1;
  const auto Result = propose(Loop, Store, 0, withWorkspace("w"));
  REQUIRE(Result.Version);
  const auto Written = parseControlHead(Store.Rows.at("control/head").Value);
  REQUIRE(Written);
  CHECK(Written->Versions == ControlVersions{1, 7, 0});
}

// Guards against a writer that overwrites the other parts of the head with old
// values: a decreasing key set version would hide the withdrawal of a key.
TEST_CASE("Replacing the head is conditional on the version that was read") {
  TestLoop Loop;
  FakePlatform Store;
  Outcome<void> Committed;
  const Platform Calls = Store.platform();
  Loop.spawn([&]() -> asio::awaitable<void> {
    const auto View = co_await readHead(Calls);
    ControlHead Head;
    Head.Versions.Keys = 1;
    Store.put("control/head", formatControlHead(Head));
    Transaction Writes;
    Writes.Writes.push_back(makeHeadWrite(*View, View->Head));
    Committed = co_await Calls.Commit(Writes);
  });
  REQUIRE_FALSE(Committed);
  CHECK(Committed.error() == Errc::Conflict);
}

// Guards against changes that are accepted while the store is down, and against
// partial writes of refused changes.
TEST_CASE("A refused change has no effect, also while the store is down") {
  TestLoop Loop;
  FakePlatform Store;
  Store.Down = true;
  const auto Result = propose(Loop, Store, 0, withWorkspace("w"));
  REQUIRE_FALSE(Result.Version);
  CHECK(Result.Version.error() == Errc::Unavailable);
  Store.Down = false;
  FleetConfig Invalid = withWorkspace("w");
  Invalid.Sites.push_back({"s", "unknown"});
  CHECK(propose(Loop, Store, 0, Invalid).Version.error() == Errc::Malformed);
  CHECK(Store.Rows.empty());
}

// Guards against adopting an older configuration or one that was corrupted in
// transit.
TEST_CASE("Only higher versions with a matching hash are adopted") {
  ConfigStore Store;
  CHECK(adopt(Store, withWorkspace("a", 2)) == true);
  CHECK(adopt(Store, withWorkspace("b", 1)) == false);
  CHECK(adopt(Store, withWorkspace("c", 2)) == false);
  CHECK(Store.current().Config->Workspaces[0].Name == "a");
  const std::string Text = formatFleetConfig(withWorkspace("d", 3));
  CHECK(Store.adopt(3, sha256Hex("x"), Text).error() == Errc::Malformed);
  CHECK(Store.adopt(4, sha256Hex(Text), Text).error() == Errc::Malformed);
  CHECK(Store.version() == 2);
}

// Guards against instances that cannot start without the store, and against
// chunks of different versions or offsets being joined.
TEST_CASE("A new instance fetches the configuration from a peer") {
  ConfigStore Peer;
  FleetConfig Large = withWorkspace("w", 5);
  for (int I = 0; I < 20000; ++I)
    Large.Workspaces.push_back({"w" + std::to_string(I), 1, 1});
  REQUIRE(adopt(Peer, Large));
  ConfigStore Own;
  ConfigTransfer Transfer;
  auto Next = Transfer.begin(makeAnnouncement(Peer), Own);
  int Chunks = 0;
  while (Next) {
    const auto Document = encode(*makeChunk(*Next, Peer));
    const auto Chunk = decodeConfigChunk(Document);
    REQUIRE(Chunk);
    // The peer adopts a newer version during the transfer.
    if (++Chunks == 1)
      REQUIRE(adopt(Peer, withWorkspace("last", 6)));
    const auto Taken = Transfer.processChunk(*Chunk, Own);
    REQUIRE(Taken);
    Next = *Taken;
  }
  CHECK(Chunks >= 2);
  CHECK(Own.version() == 6);
  CHECK_FALSE(Transfer.begin(makeAnnouncement(Peer), Own));
  ConfigChunk Invalid;
  Invalid.Source = {9, "hash", 10};
  Invalid.Offset = 3;
  CHECK_FALSE(Transfer.processChunk(Invalid, Own));
  CHECK_FALSE(decodeConfigChunk(nlohmann::json::object()));
  CHECK_FALSE(decodeConfigFetch(nlohmann::json::array()));
}

// Guards against a step of a plan that starts before the previous one is in
// force on the whole fleet.
TEST_CASE("The barrier passes on all acknowledgements or after the delay") {
  Member Self;
  Self.Name = "a";
  Self.Incarnation = 1;
  MemberTable Members(Self);
  for (const char *Name : {"b", "c"}) {
    Member Other = Self;
    Other.Name = Name;
    Members.merge(Other);
  }
  const Clock::time_point Start{10s};
  const FleetBarrier Barrier({2, 0, 0}, Start);
  Members.acknowledge("a", 1, {2, 0, 0});
  Members.acknowledge("b", 1, {3, 0, 0});
  Members.acknowledge("c", 1, {1, 0, 0});
  CHECK(Barrier.unacknowledged(Members) == std::vector<std::string>{"c"});
  CHECK_FALSE(Barrier.isInForce(Members, Start + InForceDelay - 1ns));
  CHECK(Barrier.isInForce(Members, Start + InForceDelay));
  Members.acknowledge("c", 1, {2, 0, 0});
  CHECK(Barrier.isInForce(Members, Start));
}
