#include "gateway/StandbyBed.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// A former standby whose reads of the servers' rows stall, while both servers
/// began to drain long ago. It went into service because the rows of the large
/// instances expired.
struct FormerStandbyBed : StandbyBed {
  FormerStandbyBed() {
    this->advance(2s);
    this->Tables.StalledTables = {"backends"};
    for (const char *Id : {"b1", "b2"})
      this->putBackend(Id, "z-a", true);
    for (int Step = 0; Step < 2000 && this->Instance->state().Standby; ++Step)
      this->advance(10ms);
    // The orders are read when they change, and are current then.
    this->configure(2, {"key"});
    this->advance(100ms);
  }
};

/// Sends a request as a standby that forwards it.
std::string askAsStandby(InstanceTestBed &Bed) {
  LoopbackClient Peer(Bed.Context, Bed.Instance->callerPort());
  Peer.send("GET /open/x HTTP/1.1\r\nHost: h\r\nId: 77\r\n"
            "Redwingrack-Forwarded: 1\r\nConnection: close\r\n\r\n");
  for (int Step = 0; Step < 100 && !Peer.Ended; ++Step)
    Bed.advance(10ms);
  return Peer.Received;
}

} // namespace

TEST_CASE("An instance that has just left standby sends no request to a server "
          "that began to drain while it was a standby",
          "[current-tables]") {
  FormerStandbyBed B;
  REQUIRE_FALSE(B.Instance->state().Standby);
  CHECK(hasStatus(B.request("GET", "/open/x"), 503));
  CHECK(B.arrivals() == 0);
}

TEST_CASE("An instance that has just left standby declines forwarded requests "
          "until it knows which servers drain",
          "[current-tables]") {
  FormerStandbyBed B;
  REQUIRE_FALSE(B.Instance->state().Standby);
  for (int Step = 0; Step < 2000 && !B.Instance->isReady(); ++Step)
    B.advance(10ms);
  B.configure(3, {"key"});
  B.advance(100ms);
  REQUIRE(B.Instance->isReady());
  REQUIRE_FALSE(B.Instance->state().Standby);
  const std::string Answer = askAsStandby(B);
  CHECK(hasStatus(Answer, 503));
  CHECK(Answer.find("Redwingrack-Declined") != std::string::npos);
  CHECK(B.arrivals() == 0);
}

TEST_CASE("An instance in service whose reads stall sends no request to a "
          "server that has been draining for longer than the drain time",
          "[current-tables]") {
  TwoServerBed B;
  B.start();
  B.advance(1s);
  B.Tables.StalledTables = {"backends"};
  B.advance(1500ms);
  for (const char *Id : {"b1", "b2"})
    B.putBackend(Id, "z-a", true);
  B.advance(2100ms);
  CHECK(hasStatus(B.request("GET", "/open/x"), 503));
  CHECK(B.arrivals() == 0);
}

TEST_CASE("An instance that has just left standby names no removed instance in "
          "a look-up",
          "[current-tables]") {
  StandbyBed B;
  HttpServer Large(B.Context,
                   [](HttpMessage Request,
                      const CancellationPtr &) -> asio::awaitable<HttpMessage> {
                     co_return InstanceTestBed::goodAnswer(Request);
                   });
  B.putLargeAt(Large);
  B.Tables.StalledTables = {"redwingrack"};
  B.Tables.erase("redwingrack", "instance/large1");
  B.Tables.erase("redwingrack", "instance/large2");
  for (int Request = 0; Request < 14; ++Request)
    B.request("GET", "/open/x");
  REQUIRE_FALSE(B.Instance->state().Standby);
  LoopbackClient Caller(B.Context, B.Instance->lookupPort());
  Caller.send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  for (int Step = 0; Step < 200 && !Caller.Ended; ++Step)
    B.advance(10ms);
  CHECK(Caller.Ended);
  CHECK(Caller.Received.find(B.LargeAddress) == std::string::npos);
}

TEST_CASE(
    "A standby that reads the servers' rows long after an outage sends no "
    "request to a server that is gone",
    "[current-tables]") {
  StandbyBed B;
  B.Tables.DownTables = {"backends"};
  for (int Step = 0; Step < 3000 && B.Tables.FailedReads < 2; ++Step)
    B.advance(10ms);
  REQUIRE(B.Instance->state().Standby);
  for (const char *Id : {"b1", "b2"})
    B.Tables.erase("backends", Id);
  B.Tables.DownTables.clear();
  // Rows that expired in an outage are back two seconds after it.
  B.advance(3s);
  CHECK(hasStatus(B.request("GET", "/open/x"), 503));
  CHECK(B.arrivals() == 0);
}
