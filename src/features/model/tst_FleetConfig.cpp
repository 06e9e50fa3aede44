#include "model/FleetConfig.h"
#include "model/FleetConfigJson.h"

#include <catch2/catch.hpp>

using namespace rr;

namespace {

const char *const Sample = R"({"version": 3,
 "zones": [{"name": "a1", "region": "a"}, {"name": "b1", "region": "b"}],
 "links": [{"from": "a", "to": "b", "bits_per_second": 4000000000}],
 "sites": [{"name": "s1", "zone": "a1"}],
 "blocks": [{"prefix": "10.0.0.0/8", "sites": ["s1"]}],
 "workspaces": [{"name": "w", "rate_per_second": 10, "burst": 5}],
 "routes": [{"name": "stock", "service": "stock", "methods": ["GET"],
             "path_prefix": "/stock"}],
 "servers": [{"name": "x", "service": "stock", "version": "1", "zone": "a1",
              "address": "127.0.0.1:9", "slots": 3}]})";

} // namespace

// Guards against a configuration that changes on its way through the store.
TEST_CASE("A configuration survives formatting and parsing") {
  std::vector<std::string> Problems;
  const auto First = parseFleetConfig(Sample, Problems);
  REQUIRE(First);
  const std::string Text = formatFleetConfig(*First);
  const auto Second = parseFleetConfig(Text, Problems);
  REQUIRE(Second);
  CHECK(formatFleetConfig(*Second) == Text);
}

// Guards against reports that name only the first of several mistakes.
TEST_CASE("All mistakes of a configuration are reported at once") {
  std::vector<std::string> Problems;
  const auto Result = parseFleetConfig(
      R"({"version": 1, "zones": [{"name": "a1", "colour": 1}],
          "sites": [{"name": "s", "zone": "none"}],
          "workspaces": [{"name": "w", "rate_per_second": -1, "burst": 1}]})",
      Problems);
  CHECK_FALSE(Result);
  CHECK(Problems.size() == 4);
}

// Guards against a route that takes paths of another one with the same start.
TEST_CASE("A route prefix ends at a path segment") {
  std::vector<std::string> Problems;
  const auto Config = parseFleetConfig(Sample, Problems);
  REQUIRE(Config);
  CHECK(findRoute(*Config, "GET", "/stock/7") != nullptr);
  CHECK(findRoute(*Config, "GET", "/stockroom") == nullptr);
  CHECK(findRoute(*Config, "POST", "/stock") == nullptr);
}
