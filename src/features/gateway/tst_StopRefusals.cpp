#include "gateway/StandbyBed.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// A stop, by default of 5 s: new connections until 2.3 s, reads until 4.2 s,
/// answers until 4.7 s. Requests have a limit of 2 s.
struct StopBed : TwoServerBed {
  explicit StopBed(Clock::duration StopTime = 5s) {
    this->start();
    this->advance(3s);
    SteeringBounds Bounds;
    Bounds.StopTime = StopTime;
    this->Instance->setBounds(Bounds);
    for (auto &Item : this->Backends)
      Item.second.Hold = true;
  }

  void stop() {
    this->StoppedAt = Clock::now();
    this->Instance->beginStop([this] { this->Done = true; });
  }
  /// Advances to \p Since after the begin of the stop.
  void advanceTo(Clock::duration Since) {
    this->advance(this->StoppedAt + Since - Clock::now());
  }
  void release() {
    for (auto &Item : this->Backends)
      Item.second.Hold = false;
  }

  std::unique_ptr<LoopbackClient> connect() {
    return std::make_unique<LoopbackClient>(this->Context,
                                            this->Instance->callerPort());
  }

  Clock::time_point StoppedAt{};
  bool Done = false;
};

std::string orderHead(const std::string &More) {
  return "POST /order/x HTTP/1.1\r\nHost: h\r\nId: 9\r\nKey: key\r\n"
         "Deadline: 4000\r\n" +
         More + "\r\n";
}

/// The answer says that the request did not run and will not.
bool isRefusal(const std::string &Answer) {
  return hasStatus(Answer, 503) &&
         Answer.find("Retry-After: ") != std::string::npos &&
         Answer.find("Connection: close") != std::string::npos;
}

struct Upload {
  const char *Name;
  std::string Fields;
  std::string First;
  std::string Last;
};

const Upload Uploads[] = {
    {"length", "Content-Length: 6\r\n", "abc", "def"},
    {"chunks", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n",
     "3\r\ndef\r\n0\r\n\r\n"},
};

} // namespace

// Guards against an order that is passed on although its server cannot be done
// before the process is killed, so that the order runs and its caller gets no
// answer of the server.
TEST_CASE("An upload that ends too late in a stop is refused and not passed on",
          "[instance]") {
  const Upload &Sent =
      GENERATE(from_range(std::begin(Uploads), std::end(Uploads)));
  CAPTURE(Sent.Name);
  StopBed B;
  B.stop();
  B.advanceTo(2s);
  const auto Peer = B.connect();
  Peer->send(orderHead(Sent.Fields) + Sent.First);
  B.advanceTo(3s);
  if (!Peer->Ended)
    Peer->send(Sent.Last);
  B.advance(100ms);
  CHECK(B.arrivals() == 0);
  CHECK(isRefusal(Peer->Received));
  while (!B.Done)
    B.advance(10ms);
  CHECK(B.arrivals() == 0);
}

// Guards against a stop that breaks off requests although time is left.
TEST_CASE("An upload that ends in time is answered in the last part of a stop",
          "[instance]") {
  const Upload &Sent =
      GENERATE(from_range(std::begin(Uploads), std::end(Uploads)));
  CAPTURE(Sent.Name);
  StopBed B;
  B.stop();
  B.advanceTo(2s);
  const auto Peer = B.connect();
  Peer->send(orderHead(Sent.Fields) + Sent.First);
  B.advanceTo(2670ms);
  Peer->send(Sent.Last);
  B.advanceTo(4650ms);
  REQUIRE(B.arrivals() == 1);
  B.release();
  B.advance(30ms);
  CHECK(hasStatus(Peer->Received, 200));
}

// Guards against uploads and headers that are cut by the end of the process.
TEST_CASE("A request that is never complete is refused before a stop ends",
          "[instance]") {
  StopBed B;
  B.stop();
  B.advanceTo(2s);
  const auto Body = B.connect();
  const auto Head = B.connect();
  Body->send(orderHead("Content-Length: 6\r\n") + "abc");
  Head->send("POST /order/x HTTP/1.1\r\nHost: h\r\n");
  B.advanceTo(2600ms);
  CHECK(Body->Received.empty());
  B.advanceTo(2800ms);
  CHECK(isRefusal(Body->Received));
  CHECK(Head->Received.empty());
  B.advanceTo(4300ms);
  CHECK(isRefusal(Head->Received));
  B.advanceTo(5s);
  CHECK(B.Done);
  CHECK(B.arrivals() == 0);
}

TEST_CASE("A caller that asks before it sends a body is refused if the request "
          "cannot be done",
          "[instance]") {
  StopBed B;
  B.stop();
  B.advanceTo(2s);
  const auto Early = B.connect();
  const auto Late = B.connect();
  const std::string Text =
      orderHead("Expect: 100-continue\r\nContent-Length: 6\r\n");
  Early->send(Text);
  Late->send(Text.substr(0, 20));
  B.advance(50ms);
  CHECK(Early->Received.find("100 Continue") != std::string::npos);
  B.advanceTo(3s);
  Late->send(Text.substr(20));
  B.advance(50ms);
  CHECK(isRefusal(Late->Received));
  CHECK(B.arrivals() == 0);
}

// Guards against an order that runs although its connection ended with the
// answer before it.
TEST_CASE(
    "A pipelined request that waits for the one before it does not run in "
    "a stop, and its caller is told",
    "[instance]") {
  StopBed B;
  const auto Peer = B.connect();
  Peer->send("GET /open/x HTTP/1.1\r\nHost: h\r\nId: 8\r\n\r\n" +
             orderHead("Content-Length: 0\r\n"));
  B.advance(100ms);
  REQUIRE(B.arrivals() == 1);
  B.stop();
  B.advanceTo(1s);
  B.release();
  B.advance(700ms);
  CHECK(hasStatus(Peer->Received, 200));
  CHECK(Peer->Received.find("Connection: close") != std::string::npos);
  CHECK(Peer->Ended);
  CHECK(B.arrivals() == 1);
}

// Guards against a pipelined request that is read while the one before it runs,
// and that is passed on too late in a stop.
TEST_CASE("A pipelined request that is complete too late in a stop is refused",
          "[instance]") {
  StopBed B;
  B.stop();
  B.advanceTo(2200ms);
  const auto Peer = B.connect();
  Peer->send("GET /open/x HTTP/1.1\r\nHost: h\r\nId: 8\r\n\r\n"
             "GET /open/y HTTP/1.1\r\nHost: h\r\n");
  B.advanceTo(4s);
  REQUIRE(B.arrivals() == 1);
  if (!Peer->Ended)
    Peer->send("Id: 9\r\n\r\n");
  B.advance(50ms);
  CHECK(B.arrivals() == 1);
  B.advanceTo(5s);
  REQUIRE(hasStatus(Peer->Received, 504));
  CHECK(isRefusal(Peer->Received.substr(Peer->Received.rfind("HTTP/1.1"))));
}

// Guards against a request that is passed on late because it waited for a
// connection to its server.
TEST_CASE("A request whose connection is established too late in a stop is "
          "refused",
          "[instance]") {
  StopBed B(300ms);
  const auto Peer = B.connect();
  Peer->send(orderHead("Content-Length: 0\r\n"));
  const auto InFlight = [&B] {
    const BackendPool &Pool = B.Instance->state().Backends;
    return Pool.find("b1")->InFlight + Pool.find("b2")->InFlight;
  };
  // The server is chosen and its connection is being established.
  for (int Step = 0; Step < 1000 && InFlight() == 0; ++Step) {
    B.Context.restart();
    B.Context.poll_one();
  }
  REQUIRE(InFlight() == 1);
  REQUIRE(B.arrivals() == 0);
  B.stop();
  B.advance(50ms);
  CHECK(B.arrivals() == 0);
  CHECK(isRefusal(Peer->Received));
}

// Guards against requests that a standby handed over and that are cut when the
// standby stops.
TEST_CASE("A request that a stopping standby handed over is answered",
          "[standby]") {
  StandbyBed B;
  std::size_t Received = 0;
  bool Hold = true;
  HttpServer Large(B.Context,
                   [&](HttpMessage Request, const CancellationPtr &Cancel)
                       -> asio::awaitable<HttpMessage> {
                     ++Received;
                     while (Hold && !Cancel->isCancelled())
                       co_await sleepFor(5ms);
                     co_return TwoServerBed::goodAnswer(Request);
                   });
  B.putLargeAt(Large);
  SteeringBounds Bounds;
  Bounds.StopTime = 1500ms;
  B.Instance->setBounds(Bounds);
  LoopbackClient Early(B.Context, B.Instance->callerPort());
  LoopbackClient Late(B.Context, B.Instance->callerPort());
  Early.send(orderHead("Content-Length: 0\r\n"));
  B.advance(100ms);
  REQUIRE(Received == 1);
  bool Done = false;
  B.Instance->beginStop([&] { Done = true; });
  B.advance(100ms);
  Late.send(orderHead("Content-Length: 0\r\n"));
  B.advance(100ms);
  CHECK(isRefusal(Late.Received));
  CHECK(Received == 1);
  while (!Done)
    B.advance(10ms);
  CHECK(hasStatus(Early.Received, 504));
}

// Guards against a request that a standby hands to an instance that stops,
// although another one could run it.
TEST_CASE("A stopping instance declines requests that a standby hands over",
          "[standby]") {
  StopBed B;
  B.release();
  B.stop();
  B.advance(100ms);
  const auto Peer = B.connect();
  Peer->send(orderHead("Redwingrack-Forwarded: 1\r\nContent-Length: 0\r\n"));
  B.advance(100ms);
  CHECK(hasStatus(Peer->Received, 503));
  CHECK(Peer->Received.find("Redwingrack-Declined") != std::string::npos);
  CHECK(B.arrivals() == 0);
}
