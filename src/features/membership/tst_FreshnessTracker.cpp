#include "membership/FreshnessTracker.h"
#include "membership/MemberTable.h"
#include "membership/PeerExchange.h"
#include "membership/Timing.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{100s};

Member makeMember(const std::string &Name, std::uint64_t Incarnation = 1) {
  Member Result;
  Result.Name = Name;
  Result.Zone = "z";
  Result.Incarnation = Incarnation;
  return Result;
}

// An instance with its table, tracker and exchange.
struct Node {
  explicit Node(const std::string &Name, std::uint64_t Incarnation = 1)
      : Members(makeMember(Name, Incarnation)), Freshness(Members),
        Exchange(Members, Freshness) {}

  MemberTable Members;
  FreshnessTracker Freshness;
  PeerExchange Exchange;
};

// One heartbeat and its answer; each part takes \p Delay.
void exchange(Node &From, Node &To, Clock::time_point Now,
              Clock::duration Delay = 10ms) {
  const Heartbeat Sent =
      From.Exchange.makeHeartbeat(To.Members.self().Name, Now);
  To.Exchange.receive(Sent, Now + Delay);
  const Summary Answer =
      To.Exchange.makeFleetSummary(From.Members.self().Name, Now + Delay);
  From.Exchange.receive(Answer, Now + 2 * Delay);
}

} // namespace

// Guards against a proof that outlives its limit, or that rests on state that
// is not here.
TEST_CASE("Proof A counts from the start of the read, with the state here") {
  Node Own("a");
  Own.Members.merge(makeMember("b"));
  Own.Freshness.noteRead(Start, {});
  // The store may lack withdrawals that are in force without it.
  CHECK_FALSE(Own.Freshness.isFresh(Start));
  Own.Freshness.noteSynchronised();
  CHECK(Own.Freshness.isFresh(Start));
  Own.Freshness.noteRead(Start + 1s, {1, 2, 3});
  CHECK(Own.Freshness.validUntil() == Start + FreshnessLimit);
  // A later read of newer state does not end the proof by the former one.
  Own.Freshness.setHeld({{1, 1, 3}, ""});
  CHECK(Own.Freshness.validUntil() == Start + FreshnessLimit);
  Own.Freshness.setHeld({{1, 2, 3}, ""});
  CHECK(Own.Freshness.validUntil() == Start + 1s + FreshnessLimit);
}

// Guards against a proof by the members although one of them is silent.
TEST_CASE("Proof B needs word of every counted member") {
  Node Own("a");
  Own.Freshness.noteSynchronised();
  Own.Members.merge(makeMember("b"));
  Own.Members.merge(makeMember("c"));
  Own.Members.heard("b", 1, Start);
  CHECK_FALSE(Own.Freshness.isFresh(Start));
  Own.Members.heard("c", 1, Start - 1s);
  CHECK(Own.Freshness.validUntil() == Start + 2s);

  SECTION("a member whose process ended is not counted") {
    Own.Members.noteRefused("c", 1);
    CHECK(Own.Freshness.validUntil() == Start + 3s);
  }
  SECTION("a member that was declared lost is not counted") {
    Own.Members.declareLost("c");
    CHECK(Own.Freshness.validUntil() == Start + 3s);
  }
  SECTION("a newcomer is counted at once") {
    Own.Members.merge(makeMember("d"));
    CHECK_FALSE(Own.Freshness.isFresh(Start));
  }
  SECTION("a restarted member is counted again") {
    Own.Members.merge(makeMember("b", 2));
    CHECK_FALSE(Own.Freshness.isFresh(Start));
  }
  SECTION("an instance that was declared lost has no proof") {
    Own.Members.declareLost("a");
    CHECK_FALSE(Own.Freshness.isFresh(Start));
  }
}

// Guards against word of a member that counts before its state is here.
TEST_CASE("Evidence waits until the state of its stamp is incorporated") {
  Node Own("a");
  Own.Freshness.noteSynchronised();
  Own.Members.merge(makeMember("b"));
  const Evidence Word{"b", 1, Start, {{0, 1, 0}, "pending"}, {}};
  CHECK_FALSE(Own.Freshness.offer(Word));
  Own.Freshness.setHeld({{0, 1, 0}, ""});
  CHECK_FALSE(Own.Freshness.isFresh(Start));
  Own.Freshness.noteIncorporated("pending");
  CHECK(Own.Freshness.validUntil() == Start + FreshnessLimit);
}

// Guards against a sender that vouches for members without knowing all.
TEST_CASE("Ages of a zone count only for the same members") {
  Node Own("a");
  Own.Freshness.noteSynchronised();
  Own.Members.merge(makeMember("b"));
  Own.Members.merge(makeMember("c"));
  ZoneStatus Zone;
  Zone.Zone = "z";
  Zone.MemberDigest = "of other members";
  Own.Freshness.offer({"b", 1, Start, {}, {Zone}});
  CHECK_FALSE(Own.Freshness.isFresh(Start));
  Zone.MemberDigest = Own.Members.zoneDigest("z");
  Own.Freshness.offer({"b", 1, Start, {}, {Zone}});
  CHECK(Own.Freshness.isFresh(Start));
}

// Guards against old news that looks fresh because it is read late.
TEST_CASE("A message that waited in a buffer keeps its age") {
  Node Own("a");
  Node Relay("b");
  Own.Members.merge(makeMember("b"));
  Relay.Members.merge(makeMember("a"));
  Own.Freshness.noteSynchronised();
  Relay.Freshness.noteRead(Start, {});
  const Heartbeat Sent = Own.Exchange.makeHeartbeat("b", Start);
  Relay.Exchange.receive(Sent, Start + 10ms);
  const Summary Answer = Relay.Exchange.makeFleetSummary("a", Start + 10ms);
  // The process was paused for 10 s before it reads the answer.
  Own.Exchange.receive(Answer, Start + 10s);
  CHECK(Own.Freshness.validUntil() <= Start + FreshnessLimit);
}

// Guards against an answer to a former process of the same name.
TEST_CASE("An echo of a former incarnation proves nothing") {
  Node Relay("b");
  Node Former("a", 1);
  Former.Members.merge(makeMember("b"));
  const Heartbeat Sent = Former.Exchange.makeHeartbeat("b", Start);
  Relay.Exchange.receive(Sent, Start);
  const Summary Old = Relay.Exchange.makeFleetSummary("a", Start);
  Node Own("a", 2);
  Own.Members.merge(makeMember("b"));
  Own.Freshness.noteSynchronised();
  Own.Exchange.makeHeartbeat("b", Start + 5s);
  Own.Exchange.receive(Old, Start + 5s);
  CHECK_FALSE(Own.Freshness.isFresh(Start + 5s));
}

// Guards against ages that are not added up along the way.
TEST_CASE("Ages grow along the relays") {
  Node Own("c");
  Node Relay("b");
  Node Far("a");
  for (Node *Item : {&Own, &Relay, &Far})
    for (const char *Name : {"a", "b", "c"})
      Item->Members.merge(makeMember(Name));
  Own.Freshness.noteSynchronised();
  exchange(Far, Relay, Start);
  exchange(Far, Relay, Start + 1s);
  exchange(Own, Relay, Start + 2s);
  // The relay answered Far at Start + 10 ms, which its second message repeats.
  CHECK(Own.Freshness.validUntil() >= Start + FreshnessLimit - 10ms);
  CHECK(Own.Freshness.validUntil() <= Start + FreshnessLimit + 20ms);
}

// Guards against a fleet that starts cold beside one that holds state.
TEST_CASE("A cold start needs word of all members that none holds state") {
  Node Own("a");
  CHECK(Own.Freshness.mayStartCold(Start));
  Own.Members.merge(makeMember("b"));
  CHECK_FALSE(Own.Freshness.mayStartCold(Start));
  Own.Members.heard("b", 1, Start);
  CHECK(Own.Freshness.mayStartCold(Start));
  Own.Members.setSynchronised("b", 1);
  CHECK_FALSE(Own.Freshness.mayStartCold(Start));
}

// Guards against load figures that are counted twice or kept for ever.
TEST_CASE("Relays add up the load of their zone") {
  Node Own("b");
  Node Relay("a");
  Own.Members.merge(makeMember("a"));
  Relay.Members.merge(makeMember("b"));
  LoadReport Load;
  Load.Demand["w"] = 2;
  Own.Exchange.setLoad(Load);
  Relay.Exchange.setLoad(Load);
  exchange(Own, Relay, Start);
  exchange(Own, Relay, Start + 1s);
  CHECK(Relay.Exchange.loadOf("z", Start + 1s).Demand.at("w") == 4);
  CHECK(Relay.Exchange.loadOf("z", Start + 9s).Demand.at("w") == 2);
}
