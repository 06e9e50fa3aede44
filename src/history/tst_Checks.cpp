#include "history/Checks.h"
#include "history/HistoryModel.h"
#include "history/Mutation.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>
#include <set>

using namespace rr;
using namespace rr::history;

namespace {

// One seed, so that the verdict is the same on every run. RC_PARAMS in the
// environment takes precedence, for longer searches.
const int SeedIsSet = setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);

History historyOf(const std::vector<std::uint32_t> &Choices) {
  HistoryModel Model;
  for (const std::uint32_t Choice : Choices)
    Model.step(Choice);
  return Model.finish();
}

rc::Gen<std::vector<std::uint32_t>> anyChoices() {
  // The full range at every size; RapidCheck would begin with small numbers.
  return rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
}

std::string linesOf(const std::vector<Violation> &Found) {
  std::string Text;
  for (const Violation &Item : Found)
    Text += describe(Item) + "\n";
  return Text;
}

bool names(const std::vector<Violation> &Found, Promise Broken) {
  return std::ranges::find(Found, Broken, &Violation::Broken) != Found.end();
}

/// A long history with a fixed seed, in which every mutation finds a place.
const History &fixedHistory() {
  static const History Fixed = [] {
    std::mt19937 Engine(7);
    std::vector<std::uint32_t> Choices(400);
    std::ranges::generate(Choices, std::ref(Engine));
    return historyOf(Choices);
  }();
  return Fixed;
}

} // namespace

// Guards against checks that accept a broken history, or refuse a correct one,
// at the bounds of each promise.
TEST_CASE("Every check catches its broken variants and nothing else") {
  REQUIRE(linesOf(checkHistory(fixedHistory())) == "");
  std::set<Promise> Covered;
  for (const Mutation &Item : allMutations()) {
    History Changed = fixedHistory();
    INFO(Item.Name);
    REQUIRE(Item.Apply(Changed, 17));
    const std::vector<Violation> Found = checkHistory(Changed);
    INFO(linesOf(Found));
    if (!Item.Breaks) {
      CHECK(Found.empty());
      continue;
    }
    CHECK(names(Found, *Item.Breaks));
    Covered.insert(*Item.Breaks);
  }
  CHECK(Covered.size() == 13);
}

// Guards against false alarms on concurrent histories and against violations
// that only some surroundings let through.
TEST_CASE("Mutated concurrent histories are judged correctly") {
  REQUIRE(SeedIsSet == 0);
  CHECK(rc::check([] {
    const History Correct = historyOf(*anyChoices());
    const std::string Alarms = linesOf(checkHistory(Correct));
    if (!Alarms.empty())
      RC_FAIL(Alarms);
    const auto Place = *rc::gen::arbitrary<std::uint32_t>();
    for (const Mutation &Item : allMutations()) {
      History Changed = Correct;
      if (!Item.Apply(Changed, Place))
        continue;
      const std::vector<Violation> Found = checkHistory(Changed);
      if (Item.Breaks ? !names(Found, *Item.Breaks) : !Found.empty())
        RC_FAIL(std::string(Item.Name) + "\n" + linesOf(Found));
    }
  }));
}

// Guards against reports that a reader cannot trace to what happened.
TEST_CASE("A violation is one line with promise, time and events") {
  History Recorded;
  Recorded.record(ServerBegan{Clock::time_point(std::chrono::seconds(3)), "r1",
                              "s1", "stock", "v1", "east", "east", "w0", true});
  const auto Found = checkKeyHidden(Timeline(Recorded));
  REQUIRE(Found.size() == 1);
  CHECK(describe(Found[0]) ==
        "P4 at 3.000s: expected no key in a request at a backend server; seen "
        "the text of a key; events: [3.000s server_began request_id=r1 "
        "server=s1 service=stock version=v1 entry_region=east "
        "server_region=east workspace_seen=w0 key_seen=yes outstanding=0]");
}
