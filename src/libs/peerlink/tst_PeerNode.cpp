#include "peerlink/PeerCoroutines.h"
#include "peerlink/PeerTestBed.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

// Result of a call, once it is there.
struct Result {
  std::optional<Outcome<Message>> Value;

  PeerNode::AnswerHandler handler() {
    return [this](Outcome<Message> Answer) { this->Value = std::move(Answer); };
  }
  bool failedWith(Errc Reason) const {
    return this->Value && !*this->Value && this->Value->error() == Reason;
  }
};

void echo(PeerNode &Node) {
  onCallCoroutine(Node, "echo",
                  [](IncomingCall Call) -> asio::awaitable<Outcome<Message>> {
                    co_return Outcome<Message>(std::move(Call.Request));
                  });
}

} // namespace

// Guards against answers that get lost, mixed up or cut.
TEST_CASE("Calls are answered, each with its own answer") {
  PeerTestBed Bed;
  const auto A = Bed.node("a"), B = Bed.node("b");
  echo(*B);
  REQUIRE(Bed.link(*A, *B, "b"));
  std::size_t Right = 0;
  for (int I = 0; I < 50; ++I) {
    const std::string Body(static_cast<std::size_t>(I) * 1000, 'x');
    A->call("b", {"echo", Body + std::to_string(I)}, Clock::now() + 1s,
            [&Right, Body, I](Outcome<Message> Answer) {
              Right += Answer && Answer->Body == Body + std::to_string(I);
            });
  }
  CHECK(Bed.waitFor([&] { return Right == 50; }));

  Outcome<Message> Answer = failure(Errc::Unknown);
  Bed.Loop.spawn([&]() -> asio::awaitable<void> {
    Message Request{"echo", "co"};
    Answer = co_await callPeer(*A, "b", Request, Clock::now() + 1s);
  });
  CHECK(Bed.waitFor([&] { return Answer && Answer->Body == "co"; }));
}

// Guards against handler errors, missing methods and dropped handlers that
// leave the caller waiting.
TEST_CASE("Every call ends, also without an answer") {
  PeerTestBed Bed;
  const auto A = Bed.node("a"), B = Bed.node("b");
  B->onCall("drop", [](const IncomingCall &) {});
  IncomingCall Kept;
  B->onCall("keep", [&](IncomingCall Call) { Kept = std::move(Call); });
  REQUIRE(Bed.link(*A, *B, "b"));
  Result Missing, Dropped, Late, Cancelled, Unlinked;
  A->call("b", {"none", ""}, Clock::now() + 1s, Missing.handler());
  A->call("b", {"drop", ""}, Clock::now() + 1s, Dropped.handler());
  A->call("c", {"drop", ""}, Clock::now() + 1s, Unlinked.handler());
  CHECK(Bed.waitFor([&] {
    return Missing.failedWith(Errc::NotFound) &&
           Dropped.failedWith(Errc::Unknown) &&
           Unlinked.failedWith(Errc::Unavailable);
  }));
  A->call("b", {"keep", ""}, Clock::now() + 500ms, Late.handler());
  Bed.advance(600ms);
  CHECK(Late.failedWith(Errc::Timeout));
  Kept.Answer(Message{"late", ""});

  const auto Id =
      A->call("b", {"keep", ""}, Clock::now() + 9s, Cancelled.handler());
  REQUIRE(Bed.waitFor([&] { return !Kept.Cancelled->isCancelled(); }));
  Bed.advance(100ms);
  A->cancelCall(Id);
  CHECK(Cancelled.failedWith(Errc::Cancelled));
  CHECK(Bed.waitFor([&] { return Kept.Cancelled->isCancelled(); }));
}

// Guards against publications that reach some peers only.
TEST_CASE("A publication reaches every linked peer") {
  PeerTestBed Bed;
  const auto A = Bed.node("a"), B = Bed.node("b"), C = Bed.node("c");
  int ReceivedCount = 0;
  const auto Count = [&](const std::string &Peer, const Message &Received) {
    ReceivedCount += Peer == "a" && Received.Body == "body";
  };
  B->onMessage("news", Count);
  C->onMessage("news", Count);
  REQUIRE(Bed.link(*A, *B, "b"));
  REQUIRE(Bed.link(*A, *C, "c"));
  CHECK(A->publish({"b", "c", "d"}, {"news", "body"}) == 2);
  CHECK(Bed.waitFor([&] { return ReceivedCount == 2; }));
}

// Guards against a link that stays down after its peer came back, and against
// a refusal that is reported as silence.
TEST_CASE("A restarted peer is linked again; in between it refuses") {
  PeerTestBed Bed;
  const auto A = Bed.node("a");
  auto B = Bed.node("b");
  REQUIRE(Bed.link(*A, *B, "b"));
  const auto Before = A->identityOf("b");
  auto Options = PeerTestBed::options("b");
  Options.ListenAddress = PeerTestBed::address(B->port());
  B.reset();
  CHECK(Bed.waitFor([&] { return !A->isLinked("b"); }));
  CHECK(Bed.saw(PeerEvent::Kind::LinkDown, LinkEndReason::Stopped));
  CHECK(Bed.advanceUntil(
      1s, [&] { return Bed.saw(PeerEvent::Kind::ConnectRefused); }));
  CHECK_FALSE(Bed.saw(PeerEvent::Kind::ConnectFailed));
  B = Bed.node(Options);
  CHECK(Bed.advanceUntil(3s, [&] { return A->isLinked("b"); }));
  CHECK(A->identityOf("b")->Incarnation != Before->Incarnation);
}

// Guards against evidence of an ended process that grows older than the
// freshness bound of 3 s.
TEST_CASE("A peer that refuses is asked again at least each second") {
  PeerTestBed Bed;
  const auto A = Bed.node("a");
  auto B = Bed.node("b");
  REQUIRE(A->connect("b", PeerTestBed::address(B->port())));
  B.reset();
  Bed.advance(5s);
  const auto Before = A->counters().ConnectsRefused;
  Bed.advance(10s);
  CHECK(A->counters().ConnectsRefused - Before >= 9);
}

// Guards against two ends that each close the link that the other one keeps,
// and against the loss of calls on the link that is not kept.
TEST_CASE("Links opened by both ends at once leave one that works") {
  PeerTestBed Bed;
  const auto A = Bed.node("a"), B = Bed.node("b");
  echo(*A);
  echo(*B);
  std::size_t Answers = 0;
  const auto Count = [&](const Outcome<Message> &Answer) {
    Answers += Answer.has_value();
  };
  const auto CallBoth = [&] {
    A->call("b", {"echo", ""}, Clock::now() + 2s, Count);
    B->call("a", {"echo", ""}, Clock::now() + 2s, Count);
  };
  // The first calls go out on a link as soon as it is up.
  std::size_t Ups = 0;
  const auto CallAtOnce = [&](PeerNode &Node, const std::string &Peer) {
    Node.onEvent([&, Peer](const PeerEvent &Event) {
      Bed.Events.push_back(Event);
      if (Event.Type != PeerEvent::Kind::LinkUp)
        return;
      ++Ups;
      Node.call(Peer, {"echo", ""}, Clock::now() + 2s, Count);
    });
  };
  CallAtOnce(*A, "b");
  CallAtOnce(*B, "a");
  REQUIRE(A->connect("b", PeerTestBed::address(B->port())));
  REQUIRE(B->connect("a", PeerTestBed::address(A->port())));
  REQUIRE(Bed.waitFor([&] { return Answers == 2; }));
  for (int Round = 0; Round < 50; ++Round) {
    CallBoth();
    Bed.advance(100ms);
  }
  CHECK(Bed.waitFor([&] { return Answers == 102; }));
  CHECK(Ups == 2);
  CHECK(A->counters().DuplicateLinks == 1);
  CHECK(B->counters().DuplicateLinks == 1);
  CHECK_FALSE(Bed.saw(PeerEvent::Kind::LinkDown));
  CHECK_FALSE(Bed.saw(PeerEvent::Kind::HandshakeFailed));
}

// Guards against "did not run" being said of a call that may have run, and
// against "may have run" for one that stayed in the queue.
TEST_CASE("Calls on a lost link end by whether they left") {
  PeerTestBed Bed;
  auto Options = PeerTestBed::options("a");
  Options.Limits.MaxLinkQueueBytes = std::size_t{64} << 20;
  Options.Limits.MaxTotalQueueBytes = std::size_t{64} << 20;
  const auto A = Bed.node(Options);
  auto B = Bed.node("b");
  std::size_t Ran = 0;
  std::vector<IncomingCall> Kept;
  B->onCall("keep", [&](IncomingCall Call) {
    ++Ran;
    Kept.push_back(std::move(Call));
  });
  REQUIRE(Bed.link(*A, *B, "b"));
  Result First;
  A->call("b", {"keep", ""}, Clock::now() + 60s, First.handler());
  REQUIRE(Bed.waitFor([&] { return Ran == 1; }));
  // More than the socket buffers take while the peer does not read.
  std::size_t Lost = 0, Unsent = 0;
  for (int I = 0; I < 40; ++I)
    A->call("b", {"keep", std::string(1000000, 'x')}, Clock::now() + 60s,
            [&](const Outcome<Message> &Answer) {
              Lost += Answer.error() == Errc::ConnectionLost;
              Unsent += Answer.error() == Errc::Unavailable;
            });
  A->disconnect("b");
  CHECK(First.failedWith(Errc::ConnectionLost));
  CHECK(Lost + Unsent == 40);
  CHECK(Unsent > 0);
  CHECK(Bed.waitFor([&] { return !B->isLinked("a"); }));
  CHECK(Ran - 1 <= Lost);
  CHECK(Kept.front().Cancelled->isCancelled());
}

// Guards against queues that grow without bound behind a peer that does not
// read.
TEST_CASE("A full queue refuses and counts") {
  PeerTestBed Bed;
  auto Options = PeerTestBed::options("a");
  Options.Limits.MaxLinkQueueBytes = 100000;
  const auto A = Bed.node(Options);
  const auto B = Bed.node("b");
  REQUIRE(Bed.link(*A, *B, "b"));
  const Message Half{"news", std::string(60000, 'x')};
  CHECK(A->send("b", Half));
  CHECK(A->send("b", Half).error() == Errc::LimitReached);
  CHECK(A->counters().RefusedSends == 1);
  CHECK(A->send("b", {"news", std::string(2 << 20, 'x')}).error() ==
        Errc::TooLarge);
  CHECK(A->send("b", {"two words", ""}).error() == Errc::Malformed);
  Bed.advance(100ms);
  CHECK(A->send("b", Half));
}
