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

/// A server whose requests end when the test says so; only GET may run beside
/// others of its connection.
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
  /// Lets everything happen that is going to happen by itself.
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

// Guards against requests that wait for the whole time of the one in front.
TEST_CASE("Requests sent ahead run at the same time and are answered in order",
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

// Guards against an order that runs although the client may never learn of
// the answers before it.
TEST_CASE("A request that may not run ahead waits for those in front",
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

// Guards against a client that fills the instance with requests of one
// connection.
TEST_CASE("Only so many requests of one connection run at once", "[http1]") {
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

TEST_CASE("A client that leaves cancels all its requests", "[http1]") {
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

// Guards against requests that were passed on and end without an answer
// because the one in front ends the connection.
TEST_CASE("A stop answers all requests that run, and the last one announces "
          "the end",
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

TEST_CASE("What stands behind a request that ends the connection does not run",
          "[http1]") {
  SessionBed Bed;
  Bed.HoldRequests = false;
  LoopbackClient Peer(Bed.Context, Bed.Server.port());
  Peer.send(get("/1", "Connection: close\r\n") + get("/2"));
  REQUIRE(Peer.waitForEnd());
  CHECK(Peer.Received.find("</1:>") != std::string::npos);
  CHECK(Bed.Started.size() == 1);
}

TEST_CASE("Requests in front of a malformed one are answered", "[http1]") {
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

// Guards against a client that is told that it was too slow, while the rest of
// its request waited here for answers in front to be written.
TEST_CASE("A request that has arrived is not timed out while it waits for its "
          "turn",
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

// Guards against an error in one request that takes the process down, or
// leaves its client waiting.
TEST_CASE("An unexpected error in a request is answered with 500", "[http1]") {
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

// Guards against answers that are lost or change their order depending on
// how the bytes of the requests arrive.
TEST_CASE("Requests that arrive in two pieces, cut at any place, are answered "
          "in order",
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
