#include "gateway/TwoServerBed.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

using Bed = TwoServerBed;

TEST_CASE("A stopping instance leaves the look-up at once and finishes running "
          "requests",
          "[instance]") {
  Bed B;
  B.start();
  B.advance(3s);
  for (auto &Item : B.Backends)
    Item.second.Hold = true;
  LoopbackClient Busy(B.Context, B.Instance->callerPort());
  Busy.send("GET /open/x HTTP/1.1\r\nHost: h\r\nId: 9\r\n\r\n");
  B.advance(100ms);
  REQUIRE(B.arrivals() == 1);
  bool Done = false;
  B.Instance->beginStop([&] { Done = true; });
  B.advance(200ms);
  CHECK_FALSE(B.Instance->isReady());
  const std::string *Row = B.Tables.find("redwingrack", "instance/i0");
  REQUIRE(Row);
  CHECK(Row->find("\"leaving\":true") != std::string::npos);
  for (auto &Item : B.Backends)
    Item.second.Hold = false;
  B.advance(200ms);
  CHECK(Busy.Received.find("whole body") != std::string::npos);
  B.advance(2600ms);
  // A request that arrives now might not finish before the stop time ends.
  CHECK_THROWS(LoopbackClient(B.Context, B.Instance->callerPort()));
  B.advance(3s);
  CHECK(Done);
}

// Guards against requests that are cut without an answer at the end of a stop.
TEST_CASE("A request that comes late in a stop is answered before its end",
          "[instance]") {
  Bed B;
  B.start();
  B.advance(3s);
  SteeringBounds Bounds;
  Bounds.StopTime = 3s;
  B.Instance->setBounds(Bounds);
  for (auto &Item : B.Backends)
    Item.second.Hold = true;
  bool Done = false;
  LoopbackClient Early(B.Context, B.Instance->callerPort());
  Early.send("POST /order/x HTTP/1.1\r\nHost: h\r\nId: 8\r\nKey: key\r\n"
             "Deadline: 9000\r\nContent-Length: 0\r\n\r\n");
  B.advance(1s);
  B.Instance->beginStop([&] { Done = true; });
  B.advance(1200ms);
  LoopbackClient Late(B.Context, B.Instance->callerPort());
  Late.send("GET /safe/x HTTP/1.1\r\nHost: h\r\nId: 9\r\nKey: key\r\n"
            "Deadline: 9000\r\n\r\n");
  // An order may need its whole time limit, which ends after the stop.
  LoopbackClient Refused(B.Context, B.Instance->callerPort());
  Refused.send("POST /order/x HTTP/1.1\r\nHost: h\r\nId: 10\r\nKey: key\r\n"
               "Deadline: 9000\r\nContent-Length: 0\r\n\r\n");
  B.advance(100ms);
  CHECK(hasStatus(Refused.Received, 503));
  REQUIRE(B.arrivals() == 2);
  for (auto &Item : B.Backends)
    for (const HttpMessage &Request : Item.second.Requests)
      if (*findHeader(Request.Headers, "Id") == "9")
        CHECK(std::stoi(*findHeader(Request.Headers, "Deadline")) <= 1600);
  while (!Done)
    B.advance(10ms);
  CHECK(hasStatus(Early.Received, 504));
  CHECK(hasStatus(Late.Received, 504));
}
