#include "rollout/VersionGuard.h"

#include "model/FleetConfig.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

FleetConfig configWithRollout(std::uint64_t Version, const std::string &Plan) {
  FleetConfig Config;
  Config.Version = Version;
  Config.Splits.push_back({"stock", "1", Plan.empty() ? "" : "2", 0.01, Plan});
  return Config;
}

std::optional<VersionStop> feed(VersionGuard &Guard, const std::string &Version,
                                int Count, bool Failed,
                                Clock::duration Latency = 5ms,
                                Clock::time_point At = Clock::time_point()) {
  std::optional<VersionStop> Result;
  for (int I = 0; I < Count; ++I)
    if (auto Stop = Guard.record("stock", "read", Version, Failed, Latency, At))
      Result = Stop;
  return Result;
}

VersionStop remoteStop(const std::string &Plan, std::uint64_t Config) {
  return {Plan, "stock", "2", "i2", "failures", Config};
}

} // namespace

// Guards against an instance that goes on sending to a version that it has
// itself seen fail, until the store or the lease holder acts.
TEST_CASE("An instance stops a failing version on its own evidence") {
  VersionGuard Guard("i1");
  Guard.adopt(configWithRollout(5, "p1"));
  feed(Guard, "1", 300, false);
  CHECK_FALSE(feed(Guard, "2", 3, true));
  CHECK_FALSE(Guard.isStopped("stock", "2"));
  const auto Stop = feed(Guard, "2", 1, true);
  REQUIRE(Stop);
  CHECK(Guard.isStopped("stock", "2"));
  CHECK_FALSE(Guard.isStopped("stock", "1"));
  CHECK(Stop->Plan == "p1");
  CHECK(Stop->ConfigVersion == 5);
  // One message, not one for each further failure.
  CHECK_FALSE(feed(Guard, "2", 10, true));
}

// Guards against slow versions that pass because nothing fails.
TEST_CASE("An instance stops a slow version") {
  VersionGuard Guard("i1");
  Guard.adopt(configWithRollout(5, "p1"));
  for (int Second = 0; Second < 30; ++Second)
    feed(Guard, "1", 20, false, 5ms, Clock::time_point() + Second * 1s);
  CHECK_FALSE(feed(Guard, "2", 20, false, 5ms, Clock::time_point() + 30s));
  CHECK(feed(Guard, "2", 20, false, 50ms, Clock::time_point() + 30s));
}

// Guards against a versionStop that changes on its way, or a malformed one
// that is taken for a stop.
TEST_CASE("A version stop survives encoding and a malformed one is refused") {
  const VersionStop Sent = remoteStop("p1", 7);
  const auto Decoded = decodeVersionStop(encodeVersionStop(Sent));
  REQUIRE(Decoded);
  CHECK(encodeVersionStop(*Decoded) == encodeVersionStop(Sent));
  CHECK_FALSE(decodeVersionStop(nlohmann::json::array()));
  CHECK_FALSE(decodeVersionStop({{"plan", "p1"}, {"service", 3}}));
  nlohmann::json Long = encodeVersionStop(Sent);
  Long["reason"] = std::string(5000, 'x');
  CHECK_FALSE(decodeVersionStop(Long));
}

// Guards against statistics that a peer makes impossible.
TEST_CASE("Statistics survive encoding and impossible ones are refused") {
  VersionStats Stats;
  Stats.Plan = "p1";
  Stats.Counts[{"read", "2"}] = {10, 3, 1};
  const auto Decoded = decodeVersionStats(encodeVersionStats(Stats));
  REQUIRE(Decoded);
  CHECK(Decoded->Counts == Stats.Counts);
  CHECK_FALSE(decodeVersionStats(
      {{"plan", "p"}, {"counts", {{"read", "2", 1, 2, 0}}}}));
}

// Guards against a stop that outlives its plan and then blocks the next
// rollout of the same version, and against one that gets lost.
TEST_CASE("A remote stop holds for its own plan only") {
  VersionGuard Guard("i1");
  Guard.adopt(configWithRollout(5, "p1"));
  CHECK(Guard.merge(remoteStop("p1", 5)));
  CHECK_FALSE(Guard.merge(remoteStop("p1", 5)));
  CHECK(Guard.isStopped("stock", "2"));
  Guard.adopt(configWithRollout(6, ""));
  CHECK_FALSE(Guard.isStopped("stock", "2"));
  CHECK_FALSE(Guard.merge(remoteStop("p1", 5)));
  Guard.adopt(configWithRollout(8, "p2"));
  CHECK_FALSE(Guard.isStopped("stock", "2"));
  CHECK_FALSE(Guard.merge(remoteStop("p1", 5)));
  CHECK_FALSE(Guard.isStopped("stock", "2"));
}

// Guards against a stop that overtakes the configuration it belongs to.
TEST_CASE("A stop that comes before its configuration takes effect with it") {
  VersionGuard Guard("i1");
  Guard.adopt(configWithRollout(4, ""));
  CHECK(Guard.merge(remoteStop("p1", 5)));
  CHECK_FALSE(Guard.isStopped("stock", "2"));
  Guard.adopt(configWithRollout(5, "p1"));
  CHECK(Guard.isStopped("stock", "2"));
}

// Guards against faults that no single instance sees often enough.
TEST_CASE("The counts of several instances together stop a version") {
  VersionGuard Relay("i1");
  Relay.adopt(configWithRollout(5, "p1"));
  std::optional<VersionStop> Stop;
  for (const char *Source : {"i2", "i3", "i4", "i5"}) {
    VersionStats Cumulative;
    Cumulative.Plan = "p1";
    Cumulative.Counts[{"read", "1"}] = {100, 0, 0};
    Cumulative.Counts[{"read", "2"}] = {1, 1, 0};
    CHECK_FALSE(Stop);
    Stop = Relay.observe("stock", Source, Cumulative, Clock::time_point());
  }
  CHECK(Stop);
  CHECK(Relay.isStopped("stock", "2"));
}
