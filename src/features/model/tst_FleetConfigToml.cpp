#include "model/FleetConfigToml.h"

#include <catch2/catch.hpp>

using namespace rr;

// Guards against mistakes in a long file that are reported without a place.
TEST_CASE("Mistakes in a TOML configuration come with their line") {
  std::vector<std::string> Problems;
  const auto Result = parseFleetToml("version = 1\n"
                                     "[[zones]]\n"
                                     "name = \"a1\"\n"
                                     "region = 7\n",
                                     "fleet.toml", Problems);
  CHECK_FALSE(Result);
  REQUIRE(Problems.size() == 1);
  CHECK(Problems[0] ==
        "fleet.toml:4: zones[0].region: expected a text that is not empty");
}

TEST_CASE("A TOML configuration reads like its JSON form") {
  std::vector<std::string> Problems;
  const auto Result =
      parseFleetToml("version = 1\n"
                     "[[zones]]\nname = \"a1\"\nregion = \"a\"\n",
                     "fleet.toml", Problems);
  REQUIRE(Result);
  CHECK(Result->Zones.at(0).Region == "a");
}
