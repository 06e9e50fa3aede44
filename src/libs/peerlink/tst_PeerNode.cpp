#include "peerlink/PeerCoroutines.h"
#include "peerlink/PeerTestBed.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

// Result of a call; empty until the call has ended.
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

// Guards against answers that are lost, truncated or delivered to another call.
TEST_CASE("Each call gets its own answer") {
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

// Guards against callers that wait forever because the method is unknown, or
// the handler discards the call or never answers it.
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

// Guards against published messages that are not delivered to all peers.
TEST_CASE("A published message is delivered to every linked peer") {
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

// Guards against a link that is not re-established after its peer restarted,
// and against refused connections that are reported as failed ones.
TEST_CASE("A stopped peer refuses connections, and a restarted one is linked "
          "again") {
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

// Guards against evidence of an ended process that becomes older than the
// freshness limit of 3 s.
TEST_CASE("Refused connections are retried at least once a second") {
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
// and against losing calls on the link that is closed.
TEST_CASE("When both ends open a link at once, one working link remains") {
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
  // The first calls are made as soon as a link is up.
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

// Guards against reporting a call as not run although it may have run, and as
// possibly run although it was never sent.
TEST_CASE("Calls on a lost link report whether they may have been sent") {
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
  // More than the socket buffers hold while the peer does not read.
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

// Guards against unbounded queues while a peer does not read.
TEST_CASE("A full queue refuses messages and counts them") {
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
