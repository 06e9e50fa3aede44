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

// An instance must not keep sending requests to a version that it has seen fail
// until the store or the lease holder acts.
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
  // One message in total, not one per further failure.
  CHECK_FALSE(feed(Guard, "2", 10, true));
}

// A slow version must not pass because nothing fails.
TEST_CASE("An instance stops a slow version") {
  VersionGuard Guard("i1");
  Guard.adopt(configWithRollout(5, "p1"));
  for (int Second = 0; Second < 30; ++Second)
    feed(Guard, "1", 20, false, 5ms, Clock::time_point() + Second * 1s);
  CHECK_FALSE(feed(Guard, "2", 20, false, 5ms, Clock::time_point() + 30s));
  CHECK(feed(Guard, "2", 20, false, 50ms, Clock::time_point() + 30s));
}

// A versionStop must be unchanged after encoding and decoding, and a malformed
// one must not be taken for a stop.
TEST_CASE(
    "A version stop is unchanged by encoding and a malformed one is refused") {
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

// Impossible statistics from a peer must be refused.
TEST_CASE(
    "Statistics are unchanged by encoding and impossible ones are refused") {
  VersionStats Stats;
  Stats.Plan = "p1";
  Stats.Counts[{"read", "2"}] = {10, 3, 1};
  const auto Decoded = decodeVersionStats(encodeVersionStats(Stats));
  REQUIRE(Decoded);
  CHECK(Decoded->Counts == Stats.Counts);
  CHECK_FALSE(decodeVersionStats(
      {{"plan", "p"}, {"counts", {{"read", "2", 1, 2, 0}}}}));
}

// A stop must not outlive its plan and block the next rollout of the same
// version, and it must not be lost.
TEST_CASE("A remote stop applies to its own plan only") {
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

// A stop that overtakes its configuration must not be lost.
TEST_CASE("A stop that precedes its configuration takes effect with it") {
  VersionGuard Guard("i1");
  Guard.adopt(configWithRollout(4, ""));
  CHECK(Guard.merge(remoteStop("p1", 5)));
  CHECK_FALSE(Guard.isStopped("stock", "2"));
  Guard.adopt(configWithRollout(5, "p1"));
  CHECK(Guard.isStopped("stock", "2"));
}

// Faults must be detected even if no single instance sees enough of them.
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
