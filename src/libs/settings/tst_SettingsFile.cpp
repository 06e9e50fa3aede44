#include "settings/SettingsFile.h"

#include <catch2/catch.hpp>

using namespace rr;

namespace {

const char *const Good = R"(
[instance]
name = "i1"
zone = "a1"
caller_listen = "127.0.0.1:8080"
peer_listen = "127.0.0.1:8081"
admin_listen = "127.0.0.1:8082"
[platform]
url = "http://127.0.0.1:9000"
[peers]
secret = "0123456789abcdef"
)";

} // namespace

TEST_CASE("Keys that a settings file does not set have their defaults") {
  Diagnostics Found;
  const auto Result = parseSettings(Good, "f.toml", Found);
  REQUIRE(Result);
  CHECK(Result->PlatformTimeout == std::chrono::milliseconds(1000));
  CHECK(Result->AdvertisedCallerAddress == "127.0.0.1:8080");
}

// Guards against a report that stops at the first error or does not give its
// position.
TEST_CASE("Every error is reported with file, line, key and expectation") {
  Diagnostics Found;
  const std::string Text = std::string(Good) + R"(
[callers]
lookup_max_age_ms = "soon"
colour = 1
[unknown]
)";
  CHECK_FALSE(parseSettings(Text, "f.toml", Found));
  REQUIRE(Found.Lines.size() == 3);
  CHECK(Found.Lines[0] == "f.toml:14: callers.lookup_max_age_ms: expected an "
                          "integer of at least 1");
  CHECK(Found.Lines[1] == "f.toml:15: callers.colour: unknown key");
  CHECK(Found.Lines[2] == "f.toml:16: unknown: unknown key");
}

// Guards against an uncaught parser exception that terminates the process.
TEST_CASE("A TOML syntax error is returned as an error with its line") {
  Diagnostics Found;
  CHECK_FALSE(parseSettings("a = [\n", "f.toml", Found));
  CHECK(Found.Lines.size() == 1);
}

// Guards against seeds without an instance name, which the handshake of the
// link verifies.
TEST_CASE("A seed consists of an instance name and its peer address") {
  Diagnostics Found;
  const std::string Seeds = R"(seeds = ["i2@127.0.0.2:8081", "i3@[::1]:81"])";
  const auto Result = parseSettings(Good + Seeds, "f.toml", Found);
  REQUIRE(Result);
  REQUIRE(Result->PeerSeeds.size() == 2);
  CHECK(Result->PeerSeeds[0].Name == "i2");
  CHECK(Result->PeerSeeds[0].Address == "127.0.0.2:8081");
  CHECK(Result->PeerSeeds[1].Address == "[::1]:81");
  for (const char *Wrong : {"127.0.0.2:8081", "@127.0.0.2:8081", "i2@host:1"}) {
    Diagnostics Problems;
    const std::string Text =
        Good + std::string("seeds = [\"") + Wrong + "\"]\n";
    CHECK_FALSE(parseSettings(Text, "f.toml", Problems));
    REQUIRE(Problems.Lines.size() == 1);
    CHECK(Problems.Lines[0] ==
          std::string("f.toml:12: peers.seeds: expected NAME@IP:PORT in each "
                      "entry, not ") +
              Wrong);
  }
}
