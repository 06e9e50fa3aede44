#include "model/FleetConfigToml.h"

#include <catch2/catch.hpp>

using namespace rr;

// Guards against errors that are reported without their position in the file.
TEST_CASE("Errors in a TOML configuration are reported with their line") {
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

// Guards against a TOML form whose members are read differently from JSON.
TEST_CASE("A TOML configuration is parsed like its JSON form") {
  std::vector<std::string> Problems;
  const auto Result =
      parseFleetToml("version = 1\n"
                     "[[zones]]\nname = \"a1\"\nregion = \"a\"\n",
                     "fleet.toml", Problems);
  REQUIRE(Result);
  CHECK(Result->Zones.at(0).Region == "a");
}
