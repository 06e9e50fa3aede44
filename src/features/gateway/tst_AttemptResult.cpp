#include "gateway/AttemptResult.h"
#include "gateway/GatewaySettingsFile.h"

#include <catch2/catch.hpp>

using namespace rr;

namespace {

std::optional<LoadSample> loadFrom(const std::string &Value) {
  GatewayHeaders Names;
  Names.Load = "Load";
  HttpMessage Answer;
  Answer.Headers.push_back({"Load", Value});
  return reportedLoad(Answer, Names);
}

std::optional<double> factorFrom(const std::string &Value) {
  const auto Sample = loadFrom(Value);
  REQUIRE(Sample);
  return Sample->WorkFactor;
}

std::optional<PlaceByCost> settingFrom(const std::string &Section) {
  Diagnostics Found;
  const auto Settings = parseGatewaySettings(
      "[instance]\nname=\"i\"\nzone=\"z\"\nregion=\"r\"\n"
      "callers=\"127.0.0.1:1\"\n[store]\naddress=\"127.0.0.1:2\"\n" +
          Section,
      "f", Found);
  if (!Settings)
    return std::nullopt;
  return Settings->ByCost;
}

} // namespace

TEST_CASE("A load may have a fourth figure", "[load]") {
  const auto Three = loadFrom("3,1,5");
  REQUIRE(Three);
  CHECK(Three->Running == 3);
  CHECK(Three->Waiting == 1);
  CHECK(Three->Slots == 5);
  CHECK_FALSE(Three->WorkFactor);
  CHECK(factorFrom("3,1,5,100") == 1.0);
  CHECK(factorFrom("3,1,5,250") == 2.5);
  CHECK(factorFrom("3,1,5, 40.5") == 0.405);
  CHECK(factorFrom("3,1,5,250,7") == 2.5);
}

// Guards against a server whose nonsense makes it look fast, or excludes it.
TEST_CASE("A fourth figure that makes no sense is left out", "[load]") {
  for (const char *Value :
       {"3,1,5,", "3,1,5,x", "3,1,5,0", "3,1,5,-100", "3,1,5,9", "3,1,5,2001",
        "3,1,5,nan", "3,1,5,inf", "3,1,5,1e9", "3,1,5,100x", "3,1,5;100"})
    CHECK_FALSE(factorFrom(Value));
  HttpMessage Answer;
  GatewayHeaders Names;
  Names.Load = "Load";
  Answer.Headers = {{"Load", "3,1,5,x"}};
  CHECK(hasWorkFactor(Answer, Names));
  Answer.Headers = {{"Load", "3,1,5"}};
  CHECK_FALSE(hasWorkFactor(Answer, Names));
  CHECK_FALSE(loadFrom("3,1"));
  CHECK_FALSE(loadFrom("-3,1,5,100"));
}

// Guards against figures that overflow when they are added up.
TEST_CASE("A load with a figure out of range is ignored", "[load]") {
  CHECK(loadFrom("1000000, 0,\t5"));
  for (const char *Value : {"2147483647,2147483647,5", "1000001,0,5",
                            "0,99999999999,5", "3,1,18446744073709551616",
                            "3,1,-5", "3 ,1,5", "3;1;5", ",1,5", "1e3,1,5", ""})
    CHECK_FALSE(loadFrom(Value));
}

TEST_CASE("The settings say which services are placed by cost", "[settings]") {
  CHECK(settingFrom("") == PlaceByCost::Auto);
  CHECK(settingFrom("[placement]\nby_cost=\"auto\"\n") == PlaceByCost::Auto);
  CHECK(settingFrom("[placement]\nby_cost=\"on\"\n") == PlaceByCost::On);
  CHECK(settingFrom("[placement]\nby_cost=\"off\"\n") == PlaceByCost::Off);
  CHECK_FALSE(settingFrom("[placement]\nby_cost=\"sometimes\"\n"));
  CHECK_FALSE(settingFrom("[placement]\nby_costs=\"on\"\n"));
}
