#include "gateway/MemberCodec.h"
#include "gateway/StandbyBed.h"
#include "gateway/StandbyForwarder.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

using Bed = TwoServerBed;

// Guards against requests that a standby sends to a draining server because its
// rows are outdated.
TEST_CASE("A standby reads the rows before it serves a request, so that a "
          "draining server gets none",
          "[standby]") {
  StandbyBed B;
  REQUIRE(B.Instance->state().Standby);
  CHECK(B.Instance->isReady());
  for (const char *Id : {"b1", "b2"})
    B.putBackend(Id, "z-a", true);
  B.advance(200ms);
  REQUIRE_FALSE(B.Instance->state().Backends.find("b1")->Record.Draining);
  CHECK(hasStatus(B.request("GET", "/safe/x"), 503));
  CHECK(B.arrivals() == 0);
  CHECK(B.Instance->state().Backends.find("b1")->Record.Draining);
}

// Guards against reads of the store for each request that arrives at a standby.
TEST_CASE("A standby forwards a request to an instance in service without "
          "reading the store",
          "[standby]") {
  StandbyBed B;
  std::vector<HttpMessage> Received;
  HttpServer Large(B.Context,
                   [&](HttpMessage Request, const CancellationPtr &)
                       -> asio::awaitable<HttpMessage> {
                     Received.push_back(Request);
                     HttpMessage Reply = Bed::goodAnswer(Request);
                     Reply.Body = "passed on";
                     co_return Reply;
                   });
  B.putLargeAt(Large);
  const int Before = B.Tables.Calls;
  const std::string Answer = B.request("POST", "/order/x");
  CHECK(hasStatus(Answer, 200));
  CHECK(Answer.find("passed on") != std::string::npos);
  REQUIRE(Received.size() == 1);
  // The key is checked where the request is served.
  CHECK(findHeader(Received[0].Headers, "Key"));
  CHECK(B.Tables.Calls - Before <= 1);
  CHECK(B.arrivals() == 0);
}

// Guards against a standby that does not serve a request after the instances in
// service declined it.
TEST_CASE(
    "If the instances in service decline a request, the standby reads the "
    "store and serves it",
    "[standby]") {
  StandbyBed B;
  int Asked = 0;
  HttpServer Large(
      B.Context,
      [&](HttpMessage Request,
          const CancellationPtr &) -> asio::awaitable<HttpMessage> {
        ++Asked;
        CHECK(StandbyForwarder::takeForwardedVersion(Request).has_value());
        co_return StandbyForwarder::declinedReply();
      });
  B.putLargeAt(Large);
  B.configure(7, {"newkey"});
  CHECK(hasStatus(B.request("GET", "/safe/x", "newkey"), 200));
  CHECK(Asked == 2);
}

// Guards against a caller that sees a new configuration and then an older one
// because a standby forwards its requests to different instances.
TEST_CASE("A standby does not go back to an older configuration through "
          "another instance",
          "[standby]") {
  StandbyBed B;
  std::uint64_t Version = 9;
  std::vector<std::uint64_t> Asked;
  HttpServer Large(
      B.Context,
      [&](HttpMessage Request,
          const CancellationPtr &) -> asio::awaitable<HttpMessage> {
        const auto MinVersion = StandbyForwarder::takeForwardedVersion(Request);
        Asked.push_back(MinVersion.value_or(0));
        if (MinVersion && Version < *MinVersion)
          co_return StandbyForwarder::declinedReply();
        HttpMessage Reply = Bed::goodAnswer(Request);
        StandbyForwarder::addVersionHeader(Reply, Version);
        co_return Reply;
      });
  B.putLargeAt(Large);
  const std::string First = B.request("GET", "/safe/x");
  CHECK(hasStatus(First, 200));
  CHECK(First.find("Redwingrack") == std::string::npos);
  REQUIRE(Asked.size() == 1);
  CHECK(Asked[0] == 1);
  // The next instance does not have version 9 yet.
  Version = 8;
  CHECK(hasStatus(B.request("GET", "/safe/x"), 200));
  REQUIRE(Asked.size() >= 2);
  CHECK(Asked[1] == 9);
  // It declined, and the standby served the request itself.
  CHECK(B.arrivals() == 1);
}

// Guards against an instance that the store turns away: it passes requests on,
// and when the others restart it goes back to its own configuration, which is
// older than that of their answers.
TEST_CASE("An instance that saw a newer configuration does not answer by its "
          "own while the store turns it away",
          "[standby]") {
  StandbyBed B;
  bool Restarting = false;
  const std::uint64_t Newest = GENERATE(1U, 9U);
  std::uint64_t Version = 1;
  HttpServer Large(B.Context,
                   [&](HttpMessage Request, const CancellationPtr &)
                       -> asio::awaitable<HttpMessage> {
                     if (Restarting)
                       co_return StandbyForwarder::declinedReply();
                     HttpMessage Reply = Bed::goodAnswer(Request);
                     StandbyForwarder::addVersionHeader(Reply, Version);
                     co_return Reply;
                   });
  B.putLargeAt(Large);
  const bool InService = GENERATE(false, true);
  if (InService)
    for (int Request = 0; Request < 15; ++Request)
      B.request("GET", "/open/x");
  for (int Step = 0; Step < 8; ++Step) {
    B.putLarge();
    B.advance(500ms);
  }
  REQUIRE(B.Instance->state().Standby == !InService);
  // The keys expire, so that requests are passed on.
  B.Tables.Down = true;
  B.advance(8s);
  Version = Newest;
  const std::size_t Before = B.arrivals();
  CHECK(hasStatus(B.request("GET", "/open/x"), 200));
  REQUIRE(B.arrivals() == Before);
  Restarting = true;
  B.advance(2s);
  // An instance in service goes on with what it knows, unless that is older.
  const bool Serves = InService && Newest == 1;
  CAPTURE(InService, Newest);
  CHECK(hasStatus(B.request("GET", "/open/x"), Serves ? 200 : 503));
  CHECK(B.arrivals() == Before + (Serves ? 1 : 0));
  // The store serves this instance again, with the newer configuration.
  B.Tables.Down = false;
  B.configure(9, {"key"});
  B.advance(5s);
  CHECK(hasStatus(B.request("GET", "/open/x"), 200));
  CHECK(B.Instance->state().Config->Version == 9);
}

// Guards against an instance in service whose orders come through another
// instance that is behind.
TEST_CASE("An instance that reads of a newer configuration in a row catches up "
          "before it answers",
          "[standby]") {
  Bed B;
  B.start();
  B.advance(1s);
  REQUIRE(B.Instance->state().Config->Version == 1);
  // Long reads of the orders get no answer, direct ones do.
  B.Tables.StalledTables.insert("orders");
  B.advance(50ms);
  MemberRecord Other;
  Other.Name = "other";
  Other.Incarnation = "a";
  Other.Zone = "z-a";
  Other.Region = "z";
  Other.Address = "127.0.0.1:1";
  Other.Configuration = 2;
  Other.WrittenAt = Clock::now().time_since_epoch();
  B.configure(2, {"key"});
  B.Tables.put("redwingrack", "instance/other", encodeMember(Other));
  for (int Step = 0; Step < 210 && B.Instance->state().NewestSeen.version() < 2;
       ++Step)
    B.advance(10ms);
  REQUIRE(B.Instance->state().NewestSeen.version() == 2);
  if (B.Instance->state().Config->Version == 1) {
    CHECK(hasStatus(B.request("GET", "/open/x"), 200));
    CHECK(B.Instance->state().Config->Version == 2);
  }
}

// Guards against forwarded requests that are served with outdated orders, and
// against the internal header at backend servers.
TEST_CASE("A forwarded request is served only with current orders and without "
          "its internal header",
          "[standby]") {
  Bed B;
  B.start();
  B.advance(1s);
  const auto Ask = [&B] {
    LoopbackClient Peer(B.Context, B.Instance->callerPort());
    Peer.send("GET /open/x HTTP/1.1\r\nHost: h\r\nId: 77\r\n"
              "Redwingrack-Forwarded: 1\r\nConnection: close\r\n\r\n");
    for (int Step = 0; Step < 100 && !Peer.Ended; ++Step)
      B.advance(10ms);
    return Peer.Received;
  };
  CHECK(hasStatus(Ask(), 200));
  for (const auto &Item : B.Backends)
    for (const HttpMessage &Request : Item.second.Requests)
      CHECK_FALSE(findHeader(Request.Headers, "Redwingrack-Forwarded"));
  B.Tables.Down = true;
  B.advance(4s);
  CHECK(hasStatus(Ask(), 503));
  CHECK(hasStatus(B.request("GET", "/open/x"), 200));
}

// Guards against a fleet whose idle instances all write to the store.
TEST_CASE("An instance that is a standby from the start writes no row",
          "[standby]") {
  StandbyBed B;
  REQUIRE(B.Instance->state().Standby);
  for (int Second = 0; Second < 20; ++Second) {
    B.putLarge();
    B.advance(1s);
  }
  CHECK_FALSE(B.Tables.find("redwingrack", "instance/i0"));
}

// Guards against look-ups that fail while a small instance starts.
TEST_CASE("A standby without a configuration forwards look-ups", "[standby]") {
  Bed B(0.1);
  HttpServer Large(B.Context,
                   [&](HttpMessage, const CancellationPtr &)
                       -> asio::awaitable<HttpMessage> {
                     HttpMessage Reply;
                     Reply.Status = 200;
                     Reply.Body = "the other instance's list";
                     co_return Reply;
                   });
  REQUIRE(Large.listen("127.0.0.1:0"));
  for (const char *Name : {"large1", "large2"}) {
    MemberRecord Record;
    Record.Name = Name;
    Record.Zone = "z-a";
    Record.Region = "z";
    Record.Address = "127.0.0.1:1";
    Record.LookupAddress = "127.0.0.1:" + std::to_string(Large.port());
    Record.Capacity = 0.5;
    Record.WrittenAt = Clock::now().time_since_epoch();
    B.Tables.put("redwingrack", std::string("instance/") + Name,
                 encodeMember(Record));
  }
  B.Tables.DownTables = {"orders"};
  B.start();
  LoopbackClient Peer(B.Context, B.Instance->lookupPort());
  Peer.send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  for (int Step = 0; Step < 200 && !Peer.Ended; ++Step)
    B.advance(10ms);
  CHECK(Peer.Received.find("the other instance's list") != std::string::npos);
}

// Guards against headers of a backend server that a standby mistakes for those
// of an instance.
TEST_CASE("Internal headers set by a backend server are not returned to a "
          "standby",
          "[standby]") {
  Bed B;
  B.start();
  B.advance(5s);
  for (const char *Id : {"b1", "b2"})
    B.Backends.at(Id).Answers.push_back([](const HttpMessage &Request) {
      HttpMessage Reply = Bed::goodAnswer(Request);
      Reply.Headers.push_back({"Redwingrack-Configuration", "99"});
      Reply.Headers.push_back({"Redwingrack-Declined", "1"});
      return Reply;
    });
  LoopbackClient Peer(B.Context, B.Instance->callerPort());
  Peer.send("GET /open/x HTTP/1.1\r\nHost: h\r\nId: 7\r\nDeadline: 900\r\n"
            "Redwingrack-Forwarded: 1\r\nConnection: close\r\n\r\n");
  for (int Step = 0; Step < 200 && !Peer.Ended; ++Step)
    B.advance(10ms);
  CHECK(Peer.Received.find("Redwingrack-Configuration: 1\r\n") !=
        std::string::npos);
  CHECK(Peer.Received.find("99") == std::string::npos);
  CHECK(Peer.Received.find("Redwingrack-Declined") == std::string::npos);
}

// Guards against an answer with an outdated configuration at the moment when a
// standby goes into service.
TEST_CASE("An instance that has just left standby reads the orders first",
          "[standby]") {
  StandbyBed B;
  B.advance(6s);
  B.configure(7, {"newkey"});
  // The rows of the large instances expire, and the standby notices.
  for (int Step = 0; Step < 2000 && B.Instance->state().Standby; ++Step)
    B.advance(10ms);
  REQUIRE_FALSE(B.Instance->state().Standby);
  CHECK(hasStatus(B.request("GET", "/open/x"), 200));
  CHECK(B.Instance->state().Config->Version == 7);
}

// Guards against refusals at an instance that cannot reach the store while
// other instances can.
TEST_CASE("An instance without contact to the store forwards requests to one "
          "in service",
          "[standby]") {
  Bed B;
  int Served = 0;
  HttpServer Other(B.Context,
                   [&](HttpMessage Request, const CancellationPtr &)
                       -> asio::awaitable<HttpMessage> {
                     ++Served;
                     co_return Bed::goodAnswer(Request);
                   });
  REQUIRE(Other.listen("127.0.0.1:0"));
  MemberRecord Record;
  Record.Name = "other";
  Record.Zone = "z-a";
  Record.Region = "z";
  Record.Address = "127.0.0.1:" + std::to_string(Other.port());
  const auto Put = [&] {
    Record.WrittenAt = Clock::now().time_since_epoch();
    B.Tables.put("redwingrack", "instance/other", encodeMember(Record));
  };
  Put();
  B.start();
  for (int Second = 0; Second < 4; ++Second) {
    B.advance(1s);
    Put();
  }
  B.advance(1s);
  CHECK(hasStatus(B.request("GET", "/safe/x"), 200));
  CHECK(Served == 0);
  B.Tables.Down = true;
  B.advance(6s);
  CHECK(hasStatus(B.request("GET", "/safe/x"), 200));
  CHECK(Served == 1);
}

TEST_CASE("A standby serves with the newest configuration, and without servers "
          "removed since its last read",
          "[standby]") {
  StandbyBed B;
  B.advance(4s);
  B.configure(7, {"newkey"});
  B.Tables.erase("backends", "b1");
  B.advance(100ms);
  REQUIRE(B.Instance->state().Config->Version != 7);
  CHECK(hasStatus(B.request("GET", "/safe/x", "newkey"), 200));
  CHECK(hasStatus(B.request("GET", "/safe/x", "key"), 401));
  CHECK(B.Backends.at("b1").Requests.empty());
}

TEST_CASE("A standby that cannot read the store refuses, since its rows are "
          "outdated",
          "[standby]") {
  StandbyBed B;
  B.Tables.Down = true;
  B.advance(1s);
  CHECK(hasStatus(B.request("GET", "/open/x"), 503));
  CHECK(B.arrivals() == 0);
  B.Tables.Down = false;
  CHECK(hasStatus(B.request("GET", "/open/x"), 200));
}

// Guards against health checks that activate standbys, and against standbys
// under load that do not go into service.
TEST_CASE("A few requests do not take a standby into service, many do",
          "[standby]") {
  StandbyBed B;
  const int Before = B.Tables.Calls;
  for (int Request = 0; Request < 4; ++Request) {
    CHECK(hasStatus(B.request("GET", "/open/x"), 200));
    B.advance(1s);
  }
  CHECK(B.Instance->state().Standby);
  // Three reads per request, and at most four periodic ones.
  CHECK(B.Tables.Calls - Before <= 4 * 3 + 4);
  for (int Request = 0; Request < 14; ++Request)
    CHECK(hasStatus(B.request("GET", "/open/x"), 200));
  CHECK_FALSE(B.Instance->state().Standby);
  // The other instances reserve a share of the rates for it soon afterwards.
  for (int Second = 0; Second < 3; ++Second) {
    B.putLarge();
    B.advance(1s);
  }
  CHECK(B.Instance->isReady());
  CHECK(hasStatus(B.request("GET", "/safe/x"), 200));
}
