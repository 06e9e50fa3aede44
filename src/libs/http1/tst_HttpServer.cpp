#include "http1/HttpServer.h"

#include "base/OneShotEvent.h"
#include "http1/LoopbackClient.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

struct ServerBed {
  ServerBed()
      : Server(this->Context,
               [this](HttpMessage Request,
                      CancellationPtr Cancel) -> asio::awaitable<HttpMessage> {
                 this->Requests.push_back(std::move(Request));
                 Cancel->onCancel([this] { ++this->Cancelled; });
                 HttpMessage Reply;
                 Reply.Status = 200;
                 Reply.Body = "body of " + this->Requests.back().Target;
                 if (this->Hold)
                   co_await this->Hold->waitUntil(Clock::now() + 20s);
                 co_return Reply;
               }) {
    REQUIRE(this->Server.listen("127.0.0.1:0"));
  }

  asio::io_context Context;
  std::vector<HttpMessage> Requests;
  int Cancelled = 0;
  std::unique_ptr<OneShotEvent> Hold;
  HttpServer Server;
};

} // namespace

TEST_CASE("Pipelined requests of one connection are answered in order",
          "[http1]") {
  ServerBed Bed;
  LoopbackClient Peer(Bed.Context, Bed.Server.port());
  Peer.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n"
            "\r\n");
  REQUIRE(Peer.waitFor("body of /2"));
  CHECK(Peer.Received.find("/1") < Peer.Received.find("/2"));
}

TEST_CASE("Malformed and oversized requests get an error response and a close, "
          "and are not passed to the handler",
          "[http1]") {
  ServerBed Bed;
  Bed.Server.setLimits({{200, 10}, 1s, 1s, 1s, 10});
  struct Case {
    std::string Text;
    const char *Status;
  };
  const std::vector<Case> Cases = {
      {"GET / HTTP/1.1\r\nHost : h\r\n\r\n", "HTTP/1.1 400"},
      {"GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 400"},
      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n",
       "HTTP/1.1 413"},
      {"GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(300, 'a') + "\r\n\r\n",
       "HTTP/1.1 431"},
  };
  for (const Case &Item : Cases) {
    CAPTURE(Item.Text);
    LoopbackClient Peer(Bed.Context, Bed.Server.port());
    Peer.send(Item.Text);
    REQUIRE(Peer.waitFor(Item.Status));
    CHECK(Peer.waitForEnd());
  }
  CHECK(Bed.Requests.empty());
}

TEST_CASE("A request that is not received within the timeout gets 408",
          "[http1]") {
  ServerBed Bed;
  Bed.Server.setLimits({{200, 10}, 50ms, 1s, 1s, 10});
  LoopbackClient Peer(Bed.Context, Bed.Server.port());
  Peer.send("GET / HTTP/1.1\r\nHos");
  CHECK(Peer.waitFor("HTTP/1.1 408"));
}

TEST_CASE("A client that disconnects cancels its request", "[http1]") {
  ServerBed Bed;
  Bed.Hold = std::make_unique<OneShotEvent>(Bed.Context.get_executor());
  LoopbackClient Peer(Bed.Context, Bed.Server.port());
  Peer.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(runUntil(Bed.Context, [&] { return Bed.Requests.size() == 1; }));
  CHECK(Bed.Server.activeRequests() == 1);
  Peer.close();
  CHECK(runUntil(Bed.Context, [&] { return Bed.Cancelled == 1; }));
  Bed.Hold->set();
  CHECK(
      runUntil(Bed.Context, [&] { return Bed.Server.activeRequests() == 0; }));
}

// Guards against requests that run although their clients have left, when the
// event loop has not seen the end of the connection yet.
TEST_CASE("The handler of a request can ask whether its client has left",
          "[http1]") {
  asio::io_context Context;
  std::vector<bool> Left;
  HttpServer Server(
      Context,
      [&](HttpMessage, CancellationPtr Cancel) -> asio::awaitable<HttpMessage> {
        CHECK_FALSE(Cancel->isCancelled());
        Left.push_back(Cancel->checkCancelled());
        CHECK(Cancel->isCancelled() == Left.back());
        CHECK(Cancel->cancelledAt().has_value() == Left.back());
        HttpMessage Reply;
        Reply.Status = 200;
        co_return Reply;
      });
  REQUIRE(Server.listen("127.0.0.1:0"));
  const std::string Text = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
  LoopbackClient Staying(Context, Server.port());
  Staying.send(Text);
  REQUIRE(Staying.waitFor("200"));
  for (const std::string &Sent : {Text, Text + Text.substr(0, 10)}) {
    LoopbackClient Peer(Context, Server.port());
    Peer.send(Sent);
    Peer.close();
    const std::size_t Before = Left.size();
    REQUIRE(runUntil(Context, [&] { return Left.size() > Before; }));
  }
  CHECK(Left == std::vector<bool>{false, true, true});
}

TEST_CASE("A stopping server answers running requests and closes idle "
          "connections",
          "[http1]") {
  ServerBed Bed;
  Bed.Hold = std::make_unique<OneShotEvent>(Bed.Context.get_executor());
  LoopbackClient Busy(Bed.Context, Bed.Server.port());
  LoopbackClient Idle(Bed.Context, Bed.Server.port());
  Busy.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(runUntil(Bed.Context, [&] {
    return Bed.Requests.size() == 1 && Bed.Server.connections() == 2;
  }));
  Bed.Server.closeAfterResponses();
  Bed.Server.stopAccepting();
  Bed.Server.closeIdle();
  CHECK(Idle.waitForEnd());
  CHECK_FALSE(Busy.Ended);
  Bed.Hold->set();
  CHECK(Busy.waitFor("body of /1"));
  CHECK(Busy.Received.find("Connection: close") != std::string::npos);
}
