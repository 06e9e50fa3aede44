#include "membership/MemberTable.h"
#include "membership/MembershipJson.h"
#include "membership/Timing.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const int SeedIsSet = setenv("RC_PARAMS", "seed=20261204", 0);

const Clock::time_point Start{100s};

Member makeMember(const std::string &Name, const std::string &Zone,
                  std::uint64_t Incarnation = 1) {
  Member Result;
  Result.Name = Name;
  Result.Zone = Zone;
  Result.Incarnation = Incarnation;
  return Result;
}

rc::Gen<Member> anyMember() {
  const auto State = rc::gen::map(rc::gen::inRange(0, 5), [](int Value) {
    return static_cast<MemberState>(Value);
  });
  const auto Name = rc::gen::element<std::string>("a", "b", "c");
  return rc::gen::build<Member>(
      rc::gen::set(&Member::Name, Name), rc::gen::set(&Member::Zone, Name),
      rc::gen::set(&Member::PeerAddress, Name),
      rc::gen::set(&Member::Incarnation, rc::gen::inRange<std::uint64_t>(0, 3)),
      rc::gen::set(&Member::State, State));
}

std::vector<Member> recordsOf(const MemberTable &Table) {
  std::vector<Member> Result;
  for (const auto &[Name, Entry] : Table.entries())
    Result.push_back(Entry.Record);
  return Result;
}

} // namespace

// Guards against tables that differ for ever because reports came in another
// order or came twice.
TEST_CASE("Merging members is commutative and idempotent") {
  CHECK(rc::check("any order gives the same table", [](std::uint64_t Seed) {
    auto Reports = *rc::gen::container<std::vector<Member>>(anyMember());
    MemberTable First(makeMember("self", "z"));
    for (const Member &Report : Reports)
      First.merge(Report);
    const std::vector<Member> Copy = Reports;
    Reports.insert(Reports.end(), Copy.begin(), Copy.end());
    std::mt19937_64 Engine(Seed);
    std::shuffle(Reports.begin(), Reports.end(), Engine);
    MemberTable Second(makeMember("self", "z"));
    for (const Member &Report : Reports)
      Second.merge(Report);
    RC_ASSERT(recordsOf(First) == recordsOf(Second));
    RC_ASSERT(First.listDigest() == Second.listDigest());
  }));
}

// Guards against the lagging list of the platform overriding fresh news.
TEST_CASE("The platform's list adds members and overrides nothing") {
  MemberTable Table(makeMember("self", "z"));
  Member Known = makeMember("a", "z", 2);
  Known.State = MemberState::Left;
  Table.merge(Known);
  Table.mergePlatformList(
      {{"a", "z", "", "", false}, {"b", "z", "", "", true}});
  CHECK(Table.find("a")->Record == Known);
  CHECK(Table.find("b")->Record.State == MemberState::Leaving);
  Table.mergePlatformList({});
  CHECK(Table.find("b") != nullptr);
}

// Guards against a dead relay that keeps its place, and against an election.
TEST_CASE("The two lowest live members of a zone are its relays") {
  MemberTable Table(makeMember("c", "z"));
  for (const char *Name : {"a", "b", "d"}) {
    Table.merge(makeMember(Name, "z"));
    Table.heard(Name, 1, Start);
  }
  CHECK(Table.relays("z", Start) == std::vector<std::string>{"a", "b"});
  Table.heard("b", 1, Start + 10s);
  CHECK(Table.relays("z", Start + 10s) == std::vector<std::string>{"b", "c"});
  CHECK(Table.isRelay(Start + 10s));
}

// Guards against an old process vouching for its successor.
TEST_CASE("A new incarnation starts with nothing known") {
  MemberTable Table(makeMember("self", "z"));
  Table.merge(makeMember("a", "z", 1));
  Table.heard("a", 1, Start);
  Table.merge(makeMember("a", "z", 2));
  CHECK(Table.find("a")->HeardAt == Clock::time_point::min());
  Table.heard("a", 1, Start);
  Table.noteRefused("a", 1);
  CHECK(Table.find("a")->HeardAt == Clock::time_point::min());
  CHECK(isCounted(Table.find("a")->Record));
}

// Guards against growth by replaced instances, and against their return.
TEST_CASE("Members that are gone are forgotten after the retention time") {
  MemberTable Table(makeMember("self", "z"));
  Table.merge(makeMember("a", "z"));
  Table.noteRefused("a", 1);
  Table.prune(Start);
  Table.prune(Start + MemberTable::GoneRetention);
  CHECK(Table.find("a") != nullptr);
  Table.prune(Start + MemberTable::GoneRetention + 1s);
  CHECK(Table.find("a") == nullptr);
}

// Guards against a process that goes on although others replaced it.
TEST_CASE("A process that others count as gone notices it") {
  MemberTable Table(makeMember("self", "z"));
  CHECK_FALSE(Table.isDisowned());
  Member Report = makeMember("self", "z");
  Report.State = MemberState::Lost;
  Table.merge(Report);
  CHECK(Table.isDisowned());
}

// Guards against exceptions and undefined values from malformed messages.
TEST_CASE("Malformed messages are errors, whatever member is wrong") {
  Summary Good;
  Good.Header.From = makeMember("a", "z");
  Good.Header.Read = HeadRead{1500us, {1, 2, 3}};
  Good.Zones.push_back({"z", "digest", 10ms, {1, 2, 3}, {}, true, {}});
  Good.Zones[0].Exceptions.push_back({"b", 5s, {}, false});
  Good.Zones[0].Load.Demand["w"] = 1.5;
  const nlohmann::json Document = encode(Good);
  const auto Read = decodeSummary(Document);
  REQUIRE(Read);
  CHECK(encode(*Read) == Document);
  // Ages are rounded up: a younger age would prove more than is true.
  CHECK(Read->Header.Read->Age == 2ms);
  const nlohmann::json Flat = Document.flatten();
  for (const auto &Item : Flat.items()) {
    for (const nlohmann::json &Wrong :
         {nlohmann::json(-1), nlohmann::json(), nlohmann::json::array({1})}) {
      nlohmann::json Broken = Document;
      Broken[nlohmann::json::json_pointer(Item.key())] = Wrong;
      INFO(Item.key());
      CHECK_FALSE(decodeSummary(Broken));
    }
  }
  CHECK_FALSE(decodeSummary(nlohmann::json(3)));
  CHECK_FALSE(decodeHeartbeat(Document));
}
