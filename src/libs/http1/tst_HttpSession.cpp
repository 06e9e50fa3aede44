#include "http1/HttpServer.h"
#include "http1/HttpSession.h"
#include "http1/LoopbackClient.h"

#include "base/OneShotEvent.h"
#include "base/Timer.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <stdexcept>

using namespace rr;
using namespace std::chrono_literals;

namespace {

std::string get(const std::string &Path, const std::string &Fields = "") {
  return "GET " + Path + " HTTP/1.1\r\nHost: h\r\n" + Fields + "\r\n";
}

std::string post(const std::string &Path, const std::string &Body) {
  return "POST " + Path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Server whose requests complete when the test releases them. Only GET may be
/// pipelined.
struct SessionBed {
  SessionBed()
      : Server(this->Context,
               [this](HttpMessage Request, CancellationPtr Cancel) {
                 return this->answer(std::move(Request), std::move(Cancel));
               }) {
    this->Server.setPipelineFilter(
        [](const HttpMessage &Request) { return Request.Method == "GET"; });
    REQUIRE(this->Server.listen("127.0.0.1:0"));
  }

  asio::awaitable<HttpMessage> answer(HttpMessage Request,
                                      CancellationPtr Cancel) {
    const std::string Path = Request.Target;
    this->Started.push_back(Path);
    if (Path == "/throws")
      throw std::runtime_error("unexpected");
    Cancel->onCancel([this, Path] {
      this->Cancelled.insert(Path);
      this->release(Path);
    });
    if (this->HoldRequests)
      co_await this->holdEvent(Path).wait();
    HttpMessage Reply;
    Reply.Status = 200;
    Reply.Body = "<" + Path + ":" + Request.Body + ">";
    if (Path == "/large")
      Reply.Body.assign(HttpSession::MaxPendingResponseBytes, 'x');
    co_return Reply;
  }

  OneShotEvent &holdEvent(const std::string &Path) {
    auto &Item = this->HoldEvents[Path];
    if (!Item)
      Item = std::make_unique<OneShotEvent>(this->Context.get_executor());
    return *Item;
  }
  void release(const std::string &Path) { this->holdEvent(Path).set(); }
  bool waitForStarts(std::size_t Count) {
    return runUntil(this->Context,
                    [&] { return this->Started.size() >= Count; });
  }
  /// Runs the event loop for 40 ms of real time to process pending work.
  void runPending() {
    for (int Round = 0; Round < 20; ++Round) {
      this->Context.restart();
      this->Context.run_for(2ms);
    }
  }

  asio::io_context Context;
  bool HoldRequests = true;
  std::vector<std::string> Started;
  std::set<std::string> Cancelled;
  std::map<std::string, std::unique_ptr<OneShotEvent>> HoldEvents;
  HttpServer Server;
};

} // namespace

// Guards against pipelined requests that start only when the one before them
// has been answered.
TEST_CASE("Pipelined requests run concurrently and are answered in order",
          "[http1]") {
  SessionBed Bed;
  LoopbackClient Peer(Bed.Context, Bed.Server.port());
  Peer.send(get("/1") + get("/2") + get("/3"));
  REQUIRE(Bed.waitForStarts(3));
  Bed.release("/3");
  Bed.release("/2");
  Bed.runPending();
  CHECK(Peer.Received.empty());
  Bed.release("/1");
  REQUIRE(Peer.waitFor("</3:>"));
  CHECK(Peer.Received.find("</1:>") < Peer.Received.find("</2:>"));
  CHECK(Peer.Received.find("</2:>") < Peer.Received.find("</3:>"));
  CHECK(Bed.Cancelled.empty());
}

// Guards against running a non-idempotent request before the client has
// received the responses to the requests that it sent earlier.
TEST_CASE("A request that may not be pipelined waits for the earlier ones",
          "[http1]") {
  SessionBed Bed;
  LoopbackClient Peer(Bed.Context, Bed.Server.port());
  Peer.send(get("/1") + post("/2", "b") + get("/3"));
  REQUIRE(Bed.waitForStarts(1));
  Bed.runPending();
  CHECK(Bed.Started.size() == 1);
  Bed.release("/1");
  REQUIRE(Bed.waitForStarts(2));
  CHECK(Bed.Started[1] == "/2");
  Bed.release("/2");
  Bed.release("/3");
  CHECK(Peer.waitFor("</3:>"));
}

// Guards against a client that overloads the instance with the requests of a
// single connection.
TEST_CASE("The number of concurrent requests of one connection is limited",
          "[http1]") {
  SessionBed Bed;
  LoopbackClient Peer(Bed.Context, Bed.Server.port());
  std::string Text;
  for (int Index = 0; Index < 30; ++Index)
    Text += get("/" + std::to_string(Index));
  Peer.send(Text);
  REQUIRE(Bed.waitForStarts(HttpSession::MaxPipelinedRequests));
  Bed.runPending();
  CHECK(Bed.Started.size() == HttpSession::MaxPipelinedRequests);
  for (int Index = 0; Index < 30; ++Index)
    Bed.release("/" + std::to_string(Index));
  CHECK(Peer.waitFor("</29:>"));
}

TEST_CASE("A client that disconnects cancels all its requests", "[http1]") {
  SessionBed Bed;
  LoopbackClient Peer(Bed.Context, Bed.Server.port());
  Peer.send(get("/1") + get("/2") + post("/3", ""));
  REQUIRE(Bed.waitForStarts(2));
  Peer.close();
  CHECK(runUntil(Bed.Context, [&] { return Bed.Cancelled.size() == 2; }));
  CHECK(runUntil(Bed.Context, [&] { return Bed.Server.connections() == 0; }));
  CHECK(Bed.Started.size() == 2);
  CHECK(Bed.Server.activeRequests() == 0);
}

// Guards against running requests that get no response because the response to
// an earlier one closes the connection.
TEST_CASE("On stop all running requests are answered, and the last response "
          "announces the close",
          "[http1]") {
  SessionBed Bed;
  LoopbackClient Peer(Bed.Context, Bed.Server.port());
  Peer.send(get("/1") + get("/2") + post("/3", ""));
  REQUIRE(Bed.waitForStarts(2));
  Bed.Server.closeAfterResponses();
  Bed.release("/1");
  REQUIRE(Peer.waitFor("</1:>"));
  CHECK(Peer.Received.find("Connection: close") == std::string::npos);
  Bed.release("/2");
  REQUIRE(Peer.waitFor("</2:>"));
  CHECK(Peer.Received.find("Connection: close") != std::string::npos);
  CHECK(Peer.waitForEnd());
  CHECK(Bed.Started.size() == 2);
}

TEST_CASE("Requests after one that closes the connection do not run",
          "[http1]") {
  SessionBed Bed;
  Bed.HoldRequests = false;
  LoopbackClient Peer(Bed.Context, Bed.Server.port());
  Peer.send(get("/1", "Connection: close\r\n") + get("/2"));
  REQUIRE(Peer.waitForEnd());
  CHECK(Peer.Received.find("</1:>") != std::string::npos);
  CHECK(Bed.Started.size() == 1);
}

TEST_CASE("Requests before a malformed one are answered", "[http1]") {
  SessionBed Bed;
  LoopbackClient Peer(Bed.Context, Bed.Server.port());
  Peer.send(get("/1") + get("/2") + "GET / HTTP/1.1\r\nHost : h\r\n\r\n");
  REQUIRE(Bed.waitForStarts(2));
  Bed.release("/2");
  Bed.release("/1");
  REQUIRE(Peer.waitFor("HTTP/1.1 400"));
  CHECK(Peer.Received.find("</2:>") < Peer.Received.find("HTTP/1.1 400"));
  CHECK(Peer.waitForEnd());
}

// Guards against 408 for a request that was received completely and is waiting
// for earlier responses to be sent.
TEST_CASE("A received request does not time out while it is deferred",
          "[http1]") {
  SessionBed Bed;
  Bed.Server.setLimits({{16U << 10, 1U << 20}, 60ms, 5s, 5s, 10});
  Clock::pause();
  LoopbackClient Peer(Bed.Context, Bed.Server.port());
  Peer.send(get("/1"));
  REQUIRE(Bed.waitForStarts(1));
  const std::string Third = get("/3");
  Peer.send(get("/large") + Third.substr(0, 10));
  REQUIRE(Bed.waitForStarts(2));
  Bed.release("/large");
  Peer.send(Third.substr(10));
  Bed.runPending();
  CHECK(Bed.Started.size() == 2);
  Clock::advance(100ms);
  Timer Trigger(Bed.Context, Clock::time_point::min());
  Trigger.async_wait([](const asio::error_code &) {});
  Bed.runPending();
  Clock::resume();
  Bed.release("/1");
  Bed.release("/3");
  CHECK(Peer.waitFor("</3:>"));
  CHECK(Peer.Received.find("HTTP/1.1 408") == std::string::npos);
}

// Guards against an exception in a request handler that terminates the process
// or leaves the client without a response.
TEST_CASE("An exception in a request handler is answered with 500", "[http1]") {
  SessionBed Bed;
  LoopbackClient Peer(Bed.Context, Bed.Server.port());
  Peer.send(get("/throws"));
  CHECK(Peer.waitFor("HTTP/1.1 500"));
  CHECK(Peer.waitForEnd());
  LoopbackClient Other(Bed.Context, Bed.Server.port());
  Bed.release("/1");
  Other.send(get("/1"));
  CHECK(Other.waitFor("</1:>"));
}

// Guards against responses that are lost or reordered depending on how the
// requests are split into TCP segments.
TEST_CASE("Requests that are received in two parts, split at any byte, are "
          "answered in order",
          "[http1]") {
  SessionBed Bed;
  Bed.HoldRequests = false;
  const std::string Text = get("/1") + post("/2", "body") + get("/3") +
                           "POST /4 HTTP/1.1\r\nHost: h\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"
                           "2\r\nab\r\n0\r\n\r\n" +
                           get("/5", "Connection: close\r\n");
  for (std::size_t Cut = 1; Cut < Text.size(); ++Cut) {
    CAPTURE(Cut);
    LoopbackClient Peer(Bed.Context, Bed.Server.port());
    Peer.send(Text.substr(0, Cut));
    for (int Round = 0; Round < 4; ++Round) {
      Bed.Context.restart();
      Bed.Context.poll();
    }
    Peer.send(Text.substr(Cut));
    REQUIRE(Peer.waitForEnd());
    std::size_t At = 0;
    for (const char *Body :
         {"</1:>", "</2:body>", "</3:>", "</4:ab>", "</5:>"}) {
      At = Peer.Received.find(Body, At);
      REQUIRE(At != std::string::npos);
    }
  }
}
