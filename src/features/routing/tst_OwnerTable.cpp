#include "model/FleetConfig.h"
#include "routing/OwnerTable.h"

#include <catch2/catch.hpp>
#include <map>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{1h};

FleetConfig config() {
  FleetConfig Config;
  Config.Zones = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}};
  for (int I = 0; I < 60; ++I)
    Config.Servers.push_back({"s" + std::to_string(I), "stock", "1",
                              I % 2 ? "a1" : "a2", "", 3, 400, false});
  return Config;
}

const std::vector<OwnerMember> Members{
    {"x", "a1", "a"}, {"y", "a1", "a"}, {"z", "a2", "a"}, {"w", "b1", "b"}};

std::vector<OwnerMember> without(const std::string &Name) {
  std::vector<OwnerMember> Result;
  for (const OwnerMember &Member : Members)
    if (Member.Name != Name)
      Result.push_back(Member);
  return Result;
}

OwnerTable settled(const std::string &Self) {
  OwnerTable Table(Self);
  Table.update(config(), Members, true, Start - 1min);
  return Table;
}

} // namespace

// Guards against two instances that compute different owners, and against an
// owner in another zone while the zone has instances.
TEST_CASE("Each server has one owner, in its zone while it has instances") {
  const OwnerTable X = settled("x");
  OwnerTable Reversed("y");
  Reversed.update(config(), {Members.rbegin(), Members.rend()}, true, Start);
  std::map<std::string_view, int> Counts;
  for (const BackendServer &Server : config().Servers) {
    const std::string_view Owner = X.ownerOf(Server.Name);
    CHECK(Reversed.ownerOf(Server.Name) == Owner);
    CHECK((Server.Zone == "a2") == (Owner == "z"));
    ++Counts[Owner];
  }
  CHECK(Counts["x"] > 5);
  CHECK(Counts["y"] > 5);
  OwnerTable NoZone("x");
  NoZone.update(config(), without("z"), true, Start);
  for (const OwnedServer &Server : NoZone.servers())
    CHECK((Server.Owner == "x" || Server.Owner == "y"));
}

// Guards against two owners that send at the same time: the old one has to
// stop at once and the new one has to wait.
TEST_CASE("A new owner waits for the old one") {
  OwnerTable X = settled("x");
  OwnerTable Y = settled("y");
  X.update(config(), without("x"), true, Start);
  Y.update(config(), without("x"), true, Start);
  int Moved = 0;
  for (const BackendServer &Server : config().Servers) {
    if (Server.Zone != "a1")
      continue;
    CHECK_FALSE(X.owns(Server.Name, Start));
    const bool WasY = settled("y").ownerOf(Server.Name) == "y";
    CHECK(Y.owns(Server.Name, Start) == WasY);
    CHECK(Y.owns(Server.Name, Start + OwnerHandOverWait - 1ns) == WasY);
    CHECK(Y.owns(Server.Name, Start + OwnerHandOverWait));
    Moved += WasY ? 0 : 1;
    Y.acknowledge(Server.Name, "z");
    CHECK(Y.owns(Server.Name, Start) == WasY);
    Y.acknowledge(Server.Name, "x");
    CHECK(Y.owns(Server.Name, Start));
  }
  CHECK(Moved > 5);
}

// Guards against an acknowledgement of one earlier owner that hides another,
// and against a wait for a process that is known to have ended.
TEST_CASE("Quick changes of owner wait for all earlier owners") {
  OwnerTable Y = settled("y");
  Y.update(config(), without("x"), true, Start);
  Y.instanceEnded("x");
  CHECK(Y.owns("s1", Start));
  OwnerTable Z = settled("z");
  Z.update(config(), without("x"), true, Start);
  Z.update(config(), {{"z", "a1", "a"}}, true, Start + 1s);
  for (const char *Name : {"x", "y"})
    Z.instanceEnded(Name);
  bool AnyWaits = false;
  for (const OwnedServer &Server : Z.servers())
    AnyWaits = AnyWaits || !Z.owns(Server.Server, Start + 5s - 1ns);
  CHECK(AnyWaits);
  for (const OwnedServer &Server : Z.servers())
    CHECK(Z.owns(Server.Server, Start + 5s));
}

// Guards against an isolated instance that goes on as owner, and against one
// that comes back and starts at once.
TEST_CASE("An instance that may not own stops and starts with a wait") {
  OwnerTable Z = settled("z");
  REQUIRE(Z.owns("s0", Start));
  Z.update(config(), Members, false, Start);
  CHECK_FALSE(Z.owns("s0", Start + 1h));
  Z.update(config(), Members, true, Start + 1min);
  CHECK_FALSE(Z.owns("s0", Start + 1min + 3s));
  CHECK(Z.owns("s0", Start + 1min + OwnerHandOverWait));
  OwnerTable New("z");
  New.update(config(), Members, true, Start);
  CHECK_FALSE(New.owns("s0", Start + 3s));
}
