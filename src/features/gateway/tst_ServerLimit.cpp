#include "gateway/FleetTestBed.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace rr;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t InstanceCount = 12;
constexpr Clock::duration Window = 4s;
/// Time after which all instances have got an answer with the limit, and have
/// no earlier requests on the way.
constexpr Clock::duration LearningTime = 1s;
/// Requests per second that the limited server names.
constexpr int Limit = 5;
/// In one window.
constexpr std::ptrdiff_t MaxArrivals = Limit * 4 * 3 / 2 + 5;

/// Twelve instances and one server, which names a limit.
struct LimitBed : FleetTestBed {
  LimitBed() : FleetTestBed(InstanceCount) {
    this->addServer("s0");
    this->advance(2s);
  }

  FleetTestBed::Server &limited() { return this->Servers.at("s0"); }
  void nameLimit(const std::string &Value) {
    this->limited().AnswerHeaders = {{"Limit", Value}};
  }

  /// Sends 50 requests a second, to one instance after the other.
  void run(Clock::duration Time) {
    constexpr Clock::duration Interval = 20ms;
    for (Clock::duration Passed{0}; Passed < Time; Passed += Interval) {
      this->Calls.push_back(
          this->send(++this->Sent % InstanceCount, "/safe/x"));
      this->advance(Interval);
    }
  }

  std::ptrdiff_t arrivals(Clock::time_point From, Clock::time_point To) {
    const auto &Times = this->limited().Arrivals;
    return std::count_if(
        Times.begin(), Times.end(),
        [&](Clock::time_point Time) { return Time >= From && Time < To; });
  }

  /// Most requests that the limited server got in a window since \p From.
  std::ptrdiff_t mostArrivals(Clock::time_point From) {
    std::ptrdiff_t Most = 0;
    for (Clock::time_point Begin = From; Begin + Window <= Clock::now();
         Begin += 100ms)
      Most = std::max(Most, this->arrivals(Begin, Begin + Window));
    return Most;
  }

  std::size_t Sent = 0;
  std::vector<std::shared_ptr<Call>> Calls;
};

} // namespace

// Guards against a sum over all instances that exceeds the limit.
TEST_CASE(
    "A server gets no more than the limit that it names from all instances",
    "[gateway]") {
  LimitBed Bed;
  Bed.run(4s);
  REQUIRE(Bed.arrivals(Clock::now() - Window, Clock::now()) > MaxArrivals);
  Bed.nameLimit(std::to_string(Limit));
  const Clock::time_point Named = Clock::now();
  Bed.run(20s);
  CHECK(Bed.mostArrivals(Named + LearningTime) <= MaxArrivals);
  // It is still used, since it said that it takes some requests.
  CHECK(Bed.arrivals(Clock::now() - 10s, Clock::now()) > 10 * Limit / 2);
  Bed.advance(2s);
  CHECK(std::all_of(Bed.Calls.begin(), Bed.Calls.end(), [](const auto &Call) {
    return Call->Status == 200 || Call->Status == 503;
  }));
}

// Guards against a server that stays unused after its need has ended.
TEST_CASE("A server gets any number of requests after its limit has ended",
          "[gateway]") {
  LimitBed Bed;
  Bed.nameLimit("5");
  Bed.run(10s);
  Bed.limited().AnswerHeaders.clear();
  // Instances that share the limit hear of the end, the others read it.
  Bed.run(8s);
  const Clock::time_point From = Clock::now();
  Bed.run(4s);
  CHECK(Bed.arrivals(From, Clock::now()) == 200);
}

// Guards against a server that is lost because of one malformed header.
TEST_CASE("A malformed limit changes nothing", "[gateway]") {
  LimitBed Bed;
  for (const char *Value : {"", "five", "-1", "nan", "inf", "5 a second"}) {
    Bed.nameLimit(Value);
    Bed.run(200ms);
  }
  const Clock::time_point From = Clock::now();
  Bed.run(4s);
  CHECK(Bed.arrivals(From, Clock::now()) == 200);
}

// Guards against an instance that does not know what others were told.
TEST_CASE("An instance that starts later keeps a limit that others were told",
          "[gateway]") {
  LimitBed Bed;
  Bed.nameLimit("5");
  Bed.run(10s);
  Bed.addInstance();
  const auto Server = Bed.Instances.back()->state().Backends.find("s0");
  REQUIRE(Server);
  CHECK(Server->Limit.RequestsPerSecond == 5.0);
}
