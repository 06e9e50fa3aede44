#include "keys/Authentication.h"
#include "keys/KeyFetch.h"
#include "keys/KeyRows.h"
#include "keys/KeySet.h"
#include "keys/WithdrawalMessages.h"
#include "keys/WithdrawalTracker.h"
#include "membership/FreshnessTracker.h"
#include "membership/MemberTable.h"
#include "membership/Timing.h"
#include "testing/FakePlatform.h"
#include "testing/TestLoop.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

using Verdict = Authentication::Verdict;

const Clock::time_point Start{100s};
const Freshness Fresh{Start, Start + 1s};

Member makeMember(const std::string &Name) {
  Member Result;
  Result.Name = Name;
  Result.Zone = "z";
  Result.Incarnation = 1;
  return Result;
}

KeyRecord makeRecord(const std::string &Key, std::uint64_t Version,
                     bool Withdrawn = false) {
  return {hashOfKey(Key), "w", Withdrawn, Version};
}

// Runs a coroutine over a store to its end.
template <typename T, typename Make>
Outcome<T> run(TestLoop &Loop, FakePlatform &Store, Make Start) {
  Outcome<T> Result = failure(Errc::Timeout);
  const Platform Calls = Store.platform();
  Loop.spawn(
      [&]() -> asio::awaitable<void> { Result = co_await Start(Calls); });
  Loop.advance(10s);
  return Result;
}

Outcome<std::uint64_t> issue(TestLoop &Loop, FakePlatform &Store,
                             const std::string &Key) {
  return run<std::uint64_t>(Loop, Store, [&](const Platform &Calls) {
    return issueKey(Calls, hashOfKey(Key), "w");
  });
}

Outcome<std::uint64_t> withdraw(TestLoop &Loop, FakePlatform &Store,
                                const std::string &Key) {
  return run<std::uint64_t>(Loop, Store, [&](const Platform &Calls) {
    return withdrawKey(Calls, hashOfKey(Key));
  });
}

Outcome<void> follow(TestLoop &Loop, FakePlatform &Store, KeySet &Keys,
                     std::uint64_t Target) {
  return run<void>(Loop, Store, [&](const Platform &Calls) {
    return followKeys(Calls, Keys, Target);
  });
}

} // namespace

// Guards against keys that are taken although unknown, withdrawn or stale.
TEST_CASE("Authentication tells the four outcomes apart") {
  KeySet Keys;
  Keys.merge({makeRecord("good", 1), makeRecord("bad", 2, true)});
  Keys.completeTo(2);
  CHECK(authenticate(Keys, "good", Fresh).Result == Verdict::Accepted);
  CHECK(authenticate(Keys, "good", Fresh).Workspace == "w");
  CHECK(authenticate(Keys, "bad", Fresh).Result == Verdict::Withdrawn);
  CHECK(authenticate(Keys, "other", Fresh).Result == Verdict::UnknownKey);
  const Freshness Late{Start + 1s + 1ns, Start + 1s};
  CHECK(authenticate(Keys, "good", Late).Result == Verdict::StaleView);
  CHECK(authenticate(Keys, "good", Late).Workspace.empty());
  CHECK(authenticate(Keys, "bad", Late).Result == Verdict::Withdrawn);
  CHECK(authenticate(Keys, "other", Late).Result == Verdict::StaleView);
}

// Guards against a withdrawal that an older or later record undoes.
TEST_CASE("A withdrawn key stays withdrawn in any order of changes") {
  KeySet Keys;
  Keys.merge({makeRecord("k", 5, true), makeRecord("k", 3)});
  Keys.merge({makeRecord("k", 2)});
  Keys.merge({makeRecord("k", 9)});
  CHECK(Keys.isWithdrawn(hashOfKey("k")));
  CHECK(Keys.size() == 1);
}

// Guards against a pending withdrawal that is dropped before the store has it.
TEST_CASE("Pending withdrawals end when the store's change is here") {
  KeySet Keys;
  Keys.merge({makeRecord("k", 1)});
  Keys.completeTo(1);
  CHECK(Keys.pendingDigest().empty());
  CHECK(Keys.withdrawPending(hashOfKey("k")) == true);
  CHECK(Keys.withdrawPending(hashOfKey("k")) == false);
  CHECK_FALSE(Keys.pendingDigest().empty());
  CHECK(Keys.isWithdrawn(hashOfKey("k")));
  Keys.completeTo(2);
  CHECK(Keys.pending().size() == 1);
  Keys.merge({makeRecord("k", 3, true)});
  Keys.completeTo(3);
  CHECK(Keys.pending().empty());
  CHECK(Keys.isWithdrawn(hashOfKey("k")));
  for (std::size_t I = 0; I < KeySet::MostPending; ++I)
    REQUIRE(Keys.withdrawPending(hashOfKey(std::to_string(I))));
  CHECK(Keys.withdrawPending(hashOfKey("x")).error() == Errc::LimitReached);
}

// Guards against changes that are lost between racing writers, and against
// keys that come back after their withdrawal.
TEST_CASE("Keys are issued and withdrawn through the store") {
  TestLoop Loop;
  FakePlatform Store;
  Store.LoseAnswers = 1;
  CHECK(issue(Loop, Store, "a") == 1);
  CHECK(issue(Loop, Store, "a").error() == Errc::Conflict);
  CHECK(issue(Loop, Store, "b") == 2);
  Store.LoseAnswers = 2;
  CHECK(withdraw(Loop, Store, "a") == 3);
  CHECK(withdraw(Loop, Store, "a") == 3);
  CHECK(issue(Loop, Store, "a").error() == Errc::Conflict);
  KeySet Keys;
  REQUIRE(follow(Loop, Store, Keys, 3));
  CHECK(Keys.version() == 3);
  CHECK(Keys.isWithdrawn(hashOfKey("a")));
  CHECK_FALSE(Keys.isWithdrawn(hashOfKey("b")));
  // No row has a key, only hashes.
  for (const auto &[Name, Item] : Store.Rows)
    CHECK(Item.Value.find("\"a\"") == std::string::npos);
  Store.Down = true;
  CHECK(withdraw(Loop, Store, "b").error() == Errc::Unavailable);
}

// Guards against racing writers of one key set version.
TEST_CASE("Racing withdrawals all get a version of their own") {
  TestLoop Loop;
  FakePlatform Store;
  for (int I = 0; I < 4; ++I)
    REQUIRE(issue(Loop, Store, std::to_string(I)));
  Store.Latency = 10ms;
  std::set<std::uint64_t> Versions;
  const Platform Calls = Store.platform();
  for (int I = 0; I < 4; ++I)
    Loop.spawn([&, I]() -> asio::awaitable<void> {
      const KeyHash Hash = hashOfKey(std::to_string(I));
      const auto Result = co_await withdrawKey(Calls, Hash);
      if (Result)
        Versions.insert(*Result);
    });
  Loop.advance(10s);
  CHECK(Versions == std::set<std::uint64_t>{5, 6, 7, 8});
}

// Guards against a start that misses keys, from the store or from a peer.
TEST_CASE("A whole key set is loaded from the store and from a peer") {
  TestLoop Loop;
  FakePlatform Store;
  for (int I = 0; I < 300; ++I)
    REQUIRE(issue(Loop, Store, std::to_string(I)));
  KeySet Keys;
  REQUIRE(follow(Loop, Store, Keys, 300));
  CHECK(Keys.size() == 300);
  std::vector<KeyRecord> More;
  for (std::uint64_t I = 301; I <= 9000; ++I)
    More.push_back(makeRecord(std::to_string(I), I));
  Keys.merge(More);
  Keys.completeTo(9000);
  Keys.withdrawPending(hashOfKey("7"));
  MemberTable PeerMembers(makeMember("b"));
  FreshnessTracker Peer(PeerMembers);
  Peer.setHeld({{0, Keys.version(), 0}, Keys.pendingDigest()});
  Peer.noteSynchronised();
  MemberTable OwnMembers(makeMember("a"));
  FreshnessTracker Own(OwnMembers);
  KeySet Copy;
  std::optional<std::uint64_t> After = 0;
  while (After) {
    CHECK(Copy.version() == 0);
    CHECK_FALSE(Own.isSynchronised());
    const auto Sent =
        encode(answer({makeMember("a"), *After}, Keys, Peer, PeerMembers));
    CHECK(nlohmann::json::to_cbor(Sent).size() < 1024 * 1024);
    const auto Received = decodeKeyFetchAnswer(Sent);
    REQUIRE(Received);
    const auto Next = take(*Received, Copy, Own);
    REQUIRE(Next);
    After = *Next;
  }
  CHECK(Copy.size() == 9000);
  CHECK(Copy.version() == 9000);
  CHECK(Copy.isWithdrawn(hashOfKey("7")));
  CHECK(Own.isSynchronised());
  CHECK(Own.covers(Peer.held()));
  CHECK(PeerMembers.find("a") != nullptr);
}

// Guards against "in force" while somebody may still serve the key.
TEST_CASE("The report names who has not confirmed and until when") {
  MemberTable Members(makeMember("a"));
  Members.setSynchronised("a", 1);
  Members.merge(makeMember("b"));
  Members.merge(makeMember("c"));
  const KeyHash Hash = hashOfKey("k");
  WithdrawalTracker Tracker(Hash, Start);
  Tracker.noteAck({makeMember("b"), {Hash}, Members.listDigest()});
  auto Report = Tracker.report(Members, Start);
  CHECK_FALSE(Report.isAccepted());
  CHECK(Report.Holders == 2);
  REQUIRE(Report.Missing.size() == 1);
  CHECK(Report.Missing[0].Instance == "c");
  CHECK_FALSE(Report.Missing[0].ProofLapsesAt);

  SECTION("an acknowledgement with another member list does not count") {
    Tracker.noteAck({makeMember("c"), {Hash}, "other members"});
    CHECK_FALSE(Tracker.report(Members, Start).InForce);
  }
  SECTION("a newcomer has to confirm too") {
    Tracker.noteAck({makeMember("c"), {Hash}, Members.listDigest()});
    Members.merge(makeMember("d"));
    CHECK_FALSE(Tracker.report(Members, Start).InForce);
  }
  SECTION("all acknowledged: in force, not yet durable") {
    Tracker.noteAck({makeMember("c"), {Hash}, Members.listDigest()});
    Report = Tracker.report(Members, Start);
    CHECK(Report.InForce);
    CHECK_FALSE(Report.Durable);
    Members.merge(makeMember("d"));
    CHECK(Tracker.report(Members, Start).InForce);
  }
  SECTION("durable: in force after the delay") {
    Tracker.noteDurable(7, Start);
    Report = Tracker.report(Members, Start + InForceDelay - 1ns);
    CHECK(Report.Durable);
    CHECK_FALSE(Report.InForce);
    CHECK(Report.Missing[0].ProofLapsesAt == Start + FreshnessLimit);
    CHECK(Tracker.report(Members, Start + InForceDelay).InForce);
  }
  SECTION("an instance that is not synchronised may not know all members") {
    MemberTable Alone(makeMember("a"));
    CHECK_FALSE(Tracker.report(Alone, Start).InForce);
  }
}

// Guards against exceptions and undefined values from malformed messages.
TEST_CASE("Malformed key messages are errors") {
  const KeyHash Hash = hashOfKey("k");
  CHECK(parseKeyHash(toHex(Hash)) == Hash);
  CHECK_FALSE(parseKeyHash("00"));
  CHECK_FALSE(parseKeyHash(std::string(64, 'G')));
  for (const nlohmann::json &Good :
       {encode(WithdrawalPush{makeMember("a"), {Hash}}),
        encode(WithdrawalAck{makeMember("a"), {Hash}, "digest"}),
        encode(KeyFetch{makeMember("a"), 3}),
        encode(KeyFetchAnswer{{makeRecord("k", 1)}, true, {}, {Hash}, true})}) {
    const auto IsGood = [](const nlohmann::json &Item) {
      return decodeWithdrawalPush(Item) || decodeWithdrawalAck(Item) ||
             decodeKeyFetch(Item) || decodeKeyFetchAnswer(Item);
    };
    CHECK(IsGood(Good));
    const nlohmann::json Flat = Good.flatten();
    for (const auto &Item : Flat.items()) {
      nlohmann::json Broken = Good;
      Broken[nlohmann::json::json_pointer(Item.key())] = -1;
      // An acknowledgement without its digest is still a correct push.
      if (Item.key() != "/members")
        CHECK_FALSE(IsGood(Broken));
    }
  }
}
