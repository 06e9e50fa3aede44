#include "lookup/EntryChoice.h"
#include "lookup/IpAddress.h"
#include "model/FleetConfig.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace rr;

namespace {

using State = EntryInstance::State;

FleetConfig sixZones() {
  FleetConfig Config;
  for (const char *Region : {"a", "b", "c"})
    for (const char *Number : {"1", "2"}) {
      const std::string Name = std::string(Region) + Number;
      Config.Zones.push_back({Name, Region});
      Config.Sites.push_back({"site-" + Name, Name});
    }
  return Config;
}

std::vector<EntryInstance> twoPerZone(const FleetConfig &Config) {
  std::vector<EntryInstance> Result;
  for (const Zone &Item : Config.Zones)
    for (const char *Number : {"x", "y"})
      Result.push_back({Item.Name + Number, "127.0.0.1:1", Item.Name});
  return Result;
}

std::string zonesOf(const EntryAnswer &Answer) {
  std::string Result;
  for (const EntryInstance *Instance : Answer.Instances)
    Result += Instance->Zone + " ";
  return Result;
}

// Sites b1, b2, a1: region b is nearest, then a.
const std::vector<std::uint16_t> NearB{2, 3, 0};

} // namespace

// Guards against answers that leave a caller without a way out when a zone or
// a region fails.
TEST_CASE("An answer has two zones of the nearest region, then others") {
  const FleetConfig Config = sixZones();
  const EntryDirectory Directory(Config, twoPerZone(Config));
  const EntryAnswer Answer = chooseEntries(Directory, NearB, 7);
  const std::string Zones = zonesOf(Answer);
  CHECK(Zones.substr(0, 9) == "b1 b2 a1 ");
  CHECK(Zones[9] == 'c');
  CHECK(Answer.MaxAge == std::chrono::seconds(10));
}

// Guards against callers that are sent to an instance that goes away.
TEST_CASE("Leaving and silent instances are not in an answer") {
  const FleetConfig Config = sixZones();
  auto Instances = twoPerZone(Config);
  for (EntryInstance &Instance : Instances)
    if (Instance.Zone[0] == 'b')
      Instance.Status = Instance.Zone == "b1" ? State::Leaving : State::Silent;
  const EntryDirectory Directory(Config, Instances);
  const std::string Zones = zonesOf(chooseEntries(Directory, NearB, 7));
  CHECK(Zones.substr(0, 6) == "a1 a2 ");
  CHECK(Zones.find('b') == std::string::npos);
  for (EntryInstance &Instance : Instances)
    Instance.Status = State::Silent;
  CHECK(chooseEntries({Config, Instances}, NearB, 7).Instances.empty());
}

// Guards against one instance of a zone that is first for every caller, and
// against callers that move when an instance they don't use goes.
TEST_CASE("Callers are spread over a zone and stay where they are") {
  const FleetConfig Config = sixZones();
  auto Instances = twoPerZone(Config);
  Instances.push_back({"b1z", "127.0.0.1:1", "b1"});
  const EntryDirectory Before(Config, Instances);
  Instances.pop_back();
  const EntryDirectory After(Config, Instances);
  std::map<std::string, int> Firsts;
  constexpr int Callers = 3000;
  for (int Caller = 0; Caller < Callers; ++Caller) {
    const std::uint64_t Hash =
        hashAddress({0, static_cast<std::uint64_t>(Caller), true});
    const auto First = chooseEntries(Before, NearB, Hash).Instances[0]->Name;
    ++Firsts[First];
    if (First != "b1z")
      CHECK(chooseEntries(After, NearB, Hash).Instances[0]->Name == First);
  }
  for (const char *Name : {"b1x", "b1y", "b1z"})
    CHECK(std::abs(Firsts[Name] - Callers / 3) < Callers / 10);
}

// Guards against short answers where instances exist, for every set of live
// instances.
TEST_CASE("Every answer spans two zones and regions where they exist") {
  const FleetConfig Config = sixZones();
  const auto All = twoPerZone(Config);
  for (unsigned Live = 0; Live < 1u << All.size(); ++Live) {
    auto Instances = All;
    std::set<std::string> Zones;
    std::set<char> Regions;
    std::size_t Count = 0;
    for (std::size_t I = 0; I < All.size(); ++I) {
      const bool Is = (Live >> I & 1) != 0;
      Instances[I].Status = Is ? State::Live : State::Silent;
      if (Is) {
        Zones.insert(All[I].Zone);
        Regions.insert(All[I].Zone[0]);
        ++Count;
      }
    }
    const EntryDirectory Directory(Config, Instances);
    const EntryAnswer Answer = chooseEntries(Directory, NearB, Live);
    std::set<const EntryInstance *> Distinct;
    std::set<std::string> AnswerZones;
    std::set<char> AnswerRegions;
    for (const EntryInstance *Instance : Answer.Instances) {
      Distinct.insert(Instance);
      AnswerZones.insert(Instance->Zone);
      AnswerRegions.insert(Instance->Zone[0]);
    }
    if (Distinct.size() != std::min(Count, MaxEntryInstances) ||
        AnswerZones.size() < std::min<std::size_t>(2, Zones.size()) ||
        AnswerRegions.size() < std::min<std::size_t>(2, Regions.size()))
      FAIL("live set " << Live << " gives " << zonesOf(Answer));
  }
}
