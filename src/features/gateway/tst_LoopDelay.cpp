#include "gateway/LoopDelay.h"
#include "gateway/TwoServerBed.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

constexpr Clock::time_point Start{100s};

} // namespace

TEST_CASE("The delay of the event loop is the lateness of its ticks",
          "[loop-delay]") {
  LoopDelay Delay(Start);
  CHECK(Delay.delayAt(Start + 15ms) == 0ms);
  CHECK(Delay.recordTick(Start + 20ms) == 0ms);
  CHECK(Delay.recordTick(Start + 340ms) == 300ms);
  CHECK(Delay.delayAt(Start + 350ms) == 300ms);
  CHECK(Delay.recordTick(Start + 360ms) == 0ms);
  CHECK(Delay.delayAt(Start + 360ms) == 0ms);
}

// Guards against events that are handled before the late tick, or long after
// it in the same round.
TEST_CASE("A tick that is overdue counts before it runs", "[loop-delay]") {
  LoopDelay Delay(Start);
  CHECK(Delay.delayAt(Start + 320ms) == 300ms);
  Delay.recordTick(Start + 320ms);
  CHECK(Delay.delayAt(Start + 350ms) == 310ms);
}

// Guards against requests that are passed on although their deadline passed
// while the process was held up.
TEST_CASE("The time for which the event loop was held up is taken from a "
          "request",
          "[loop-delay]") {
  TwoServerBed B;
  B.start();
  REQUIRE(hasStatus(B.request("GET", "/safe/x"), 200));
  const std::size_t Before = B.arrivals();
  const auto Ask = [&](const char *Id, int DeadlineMs) {
    LoopbackClient Peer(B.Context, B.Instance->callerPort());
    Peer.send(std::string("GET /safe/x HTTP/1.1\r\nHost: h\r\nId: ") + Id +
              "\r\nKey: key\r\nDeadline: " + std::to_string(DeadlineMs) +
              "\r\nConnection: close\r\n\r\n");
    Clock::advance(300ms);
    B.advance(50ms);
    return Peer.Received;
  };
  CHECK(hasStatus(Ask("late", 250), 503));
  CHECK(B.arrivals() == Before);
  CHECK(hasStatus(Ask("intime", 1500), 200));
  REQUIRE(B.arrivals() == Before + 1);
  for (const auto &Item : B.Backends)
    for (const HttpMessage &Request : Item.second.Requests)
      if (*findHeader(Request.Headers, "Id") == "intime")
        CHECK(std::stoi(*findHeader(Request.Headers, "Deadline")) <= 1220);
  CHECK(B.metrics().find("loop_delay_seconds") != std::string::npos);
}
