#include "http1/HttpServer.h"

#include "base/OneShotEvent.h"
#include "http1/LoopbackClient.h"
#include "testing/RunReady.h"

#include <asio/post.hpp>
#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <deque>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const std::string Request = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";

/// Server for \p MaxConnections callers whose requests are answered at once, or
/// when the test sets Hold. The clock is paused.
struct OverloadBed {
  explicit OverloadBed(std::size_t MaxConnections)
      : Server(this->Context,
               [this](HttpMessage,
                      CancellationPtr) -> asio::awaitable<HttpMessage> {
                 ++this->Requests;
                 if (this->HoldRequests)
                   co_await this->Hold.wait();
                 HttpMessage Reply;
                 Reply.Status = 200;
                 Reply.Body = "served";
                 co_return Reply;
               }),
        Hold(this->Context.get_executor()) {
    Clock::pause();
    HttpServerLimits Limits;
    Limits.MaxConnections = MaxConnections;
    this->Server.setLimits(Limits);
    REQUIRE(this->Server.listen("127.0.0.1:0"));
  }
  ~OverloadBed() { Clock::resume(); }

  LoopbackClient &connect() {
    return this->Clients.emplace_back(this->Context, this->Server.port());
  }
  void advance(Clock::duration Time) {
    Clock::advance(Time);
    runReady(this->Context);
  }

  asio::io_context Context;
  bool HoldRequests = false;
  int Requests = 0;
  HttpServer Server;
  OneShotEvent Hold;
  std::deque<LoopbackClient> Clients;
};

} // namespace

// Guards against callers that wait in the listen backlog, or are cut off
// without an answer, because the server has too many connections.
TEST_CASE("A caller beyond the connection limit gets 503 at once", "[http1]") {
  OverloadBed Bed(2);
  Bed.HoldRequests = true;
  for (int Busy = 0; Busy < 2; ++Busy)
    Bed.connect().send(Request);
  runReady(Bed.Context);
  REQUIRE(Bed.Requests == 2);
  for (int Extra = 0; Extra < 3; ++Extra) {
    LoopbackClient &Peer = Bed.connect();
    Peer.send(Request);
    runReady(Bed.Context);
    CHECK(Peer.Received.rfind("HTTP/1.1 503 ", 0) == 0);
    CHECK(Peer.Received.find("\r\nRetry-After: 0.") != std::string::npos);
    CHECK(Peer.Received.find("\r\nConnection: close\r\n") != std::string::npos);
    CHECK(Peer.Ended);
  }
  CHECK(Bed.Requests == 2);
  CHECK(Bed.Server.connections() == 2);
  Bed.Hold.set();
  CHECK(Bed.Clients[0].waitFor("served"));
}

// Guards against an answer that the caller never sees, because the connection
// is reset while the caller is still sending.
TEST_CASE("A caller beyond the connection limit is answered after the head of "
          "its request, and the body is discarded",
          "[http1]") {
  OverloadBed Bed(0);
  LoopbackClient &Peer = Bed.connect();
  Peer.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r");
  runReady(Bed.Context);
  CHECK(Peer.Received.empty());
  Peer.send("\n");
  runReady(Bed.Context);
  CHECK(Peer.Received.rfind("HTTP/1.1 503 ", 0) == 0);
  const std::string Part(10000, 'x');
  for (int Count = 0; Count < 20; ++Count) {
    Peer.send(Part);
    runReady(Bed.Context);
  }
  CHECK(Peer.Ended);
  CHECK(Bed.Requests == 0);
}

// Guards against refusals that use up the descriptors that the limit saves.
TEST_CASE("Callers that send nothing do not hold the reserve for refusals",
          "[http1]") {
  OverloadBed Bed(0);
  HttpServerLimits Limits;
  Limits.MaxConnections = 0;
  Limits.MaxRefusals = 2;
  Bed.Server.setLimits(Limits);
  for (int Silent = 0; Silent < 2; ++Silent)
    Bed.connect();
  runReady(Bed.Context);
  CHECK_FALSE(Bed.Clients[0].Ended);
  LoopbackClient &Beyond = Bed.connect();
  runReady(Bed.Context);
  CHECK(Beyond.Ended);
  CHECK(Beyond.Received.empty());
  Bed.advance(Limits.RefusalTimeout);
  CHECK(Bed.Clients[0].Ended);
  CHECK(Bed.Clients[1].Ended);
  LoopbackClient &Next = Bed.connect();
  Next.send(Request);
  runReady(Bed.Context);
  CHECK(Next.Received.rfind("HTTP/1.1 503 ", 0) == 0);
  Next.close();
  runReady(Bed.Context);
  CHECK(Bed.Server.counters().Refused == 1);
  CHECK(Bed.Server.counters().Unanswered == 2);
  CHECK(Bed.Server.counters().Dropped == 1);
}

// Guards against refusals while connections without a request hold the limit.
TEST_CASE("At the connection limit the longest idle connections are closed",
          "[http1]") {
  OverloadBed Bed(2);
  for (int Count = 0; Count < 2; ++Count) {
    Bed.connect().send(Request);
    Bed.advance(1s);
    REQUIRE(Bed.Clients.back().Received.find("served") != std::string::npos);
  }
  // The first connection is used again, so the second one is idle for longer.
  Bed.Clients[0].send(Request);
  Bed.advance(1s);
  LoopbackClient &Third = Bed.connect();
  Third.send(Request);
  runReady(Bed.Context);
  CHECK(Third.Received.find("served") != std::string::npos);
  CHECK(Bed.Clients[1].Ended);
  CHECK_FALSE(Bed.Clients[0].Ended);
  CHECK(Bed.Server.connections() == 2);
  CHECK(Bed.Server.counters().ClosedIdle == 1);
}

// Guards against a request that is lost because its connection counts as idle
// until its bytes are read.
TEST_CASE("A connection with unread input, or a new one, is not closed as idle",
          "[http1]") {
  OverloadBed Bed(1);
  LoopbackClient &First = Bed.connect();
  runReady(Bed.Context);
  SECTION("new connection") {
    LoopbackClient &Second = Bed.connect();
    Second.send(Request);
    runReady(Bed.Context);
    CHECK(Second.Received.rfind("HTTP/1.1 503 ", 0) == 0);
    First.send(Request);
  }
  SECTION("unread input") {
    Bed.advance(5s);
    // Both arrive while the event loop does not run.
    LoopbackClient &Second = Bed.connect();
    Second.send(Request);
    First.send(Request);
    runReady(Bed.Context);
  }
  runReady(Bed.Context);
  CHECK(First.Received.find("served") != std::string::npos);
  CHECK_FALSE(First.Ended);
}

// Guards against one connection for each wake-up or retry period.
TEST_CASE("All pending connections are accepted at one wake-up", "[http1]") {
  OverloadBed Bed(300);
  for (int Count = 0; Count < 300; ++Count)
    Bed.connect();
  runReady(Bed.Context);
  CHECK(Bed.Server.connections() == 300);
}

// Guards against a listener that stops accepting while the process has no file
// descriptor left.
TEST_CASE("Without a free file descriptor idle connections are closed, and "
          "otherwise new ones are",
          "[http1]") {
  OverloadBed Bed(100);
  LoopbackClient &First = Bed.connect();
  runReady(Bed.Context);
  REQUIRE(Bed.Server.connections() == 1);
  // Connected before the descriptors run out, accepted afterwards.
  LoopbackClient &Second = Bed.connect();
  LoopbackClient &Third = Bed.connect();
  rlimit Before{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &Before) == 0);
  const int Lowest = ::dup(0);
  ::close(Lowest);
  rlimit Tight = Before;
  Tight.rlim_cur = rlim_t(Lowest);
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &Tight) == 0);
  Bed.advance(5s);
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &Before) == 0);
  CHECK(First.Ended);
  CHECK(int(Second.Ended) + int(Third.Ended) == 1);
  CHECK(Bed.Server.connections() == 1);
  LoopbackClient &Last = Bed.connect();
  Last.send(Request);
  runReady(Bed.Context);
  CHECK(Last.Received.find("served") != std::string::npos);
}
