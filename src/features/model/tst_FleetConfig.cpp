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

// Guards against members that formatting or parsing loses or alters, so that a
// configuration would change on its way through the store.
TEST_CASE("A configuration survives formatting and parsing") {
  std::vector<std::string> Problems;
  const auto First = parseFleetConfig(Sample, Problems);
  REQUIRE(First);
  const std::string Text = formatFleetConfig(*First);
  const auto Second = parseFleetConfig(Text, Problems);
  REQUIRE(Second);
  CHECK(formatFleetConfig(*Second) == Text);
}

// Guards against reports that contain only the first of several errors.
TEST_CASE("All errors in a configuration are reported at once") {
  std::vector<std::string> Problems;
  const auto Result = parseFleetConfig(
      R"({"version": 1, "zones": [{"name": "a1", "colour": 1}],
          "sites": [{"name": "s", "zone": "none"}],
          "workspaces": [{"name": "w", "rate_per_second": -1, "burst": 1}]})",
      Problems);
  CHECK_FALSE(Result);
  CHECK(Problems.size() == 4);
}

// Guards against a route that matches paths of another one whose first segment
// starts with the same characters.
TEST_CASE("A route prefix matches whole path segments") {
  std::vector<std::string> Problems;
  const auto Config = parseFleetConfig(Sample, Problems);
  REQUIRE(Config);
  CHECK(findRoute(*Config, "GET", "/stock/7") != nullptr);
  CHECK(findRoute(*Config, "GET", "/stockroom") == nullptr);
  CHECK(findRoute(*Config, "POST", "/stock") == nullptr);
}
