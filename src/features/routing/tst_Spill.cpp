#include "routing/FairDivision.h"
#include "routing/SpillCredits.h"
#include "routing/SpillGrantor.h"

#include <catch2/catch.hpp>
#include <numeric>
#include <rapidcheck.h>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{1h};
using Doubles = std::vector<double>;

SpillGrant grantOf(double Requests, double Bytes) {
  return {"b", "relay", "a1", "stock", Requests, Bytes};
}

int spendAll(SpillCredits &Credits, double Bytes, Clock::time_point From,
             Clock::duration Time) {
  int Count = 0;
  for (auto Now = From; Now < From + Time; Now += 1ms)
    Count += Credits.trySpend("b", "stock", Bytes, Now) ? 1 : 0;
  return Count;
}

double sum(const Doubles &Values) {
  return std::accumulate(Values.begin(), Values.end(), 0.0);
}

} // namespace

// Guards against one large ask that takes what small ones need.
TEST_CASE("Division serves small asks first") {
  CHECK(divideFairly(10, {100, 2, 3}) == Doubles{5, 2, 3});
  CHECK(divideFairly(10, {1, 2}) == Doubles{1, 2});
  CHECK(divideFairly(-1, {1, -2}) == Doubles{0, 0});
}

// Guards against grants whose sum exceeds the limit while old ones are still
// valid, for any sequence of asks and a falling limit.
TEST_CASE("Live grants never exceed the limit") {
  CHECK(rc::check([] {
    GrantLedger Ledger;
    auto Now = Start;
    for (int Round = 0; Round < 30; ++Round) {
      Now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
      const double Limit = *rc::gen::inRange(0, 200);
      std::vector<GrantAsk> Asks;
      for (const char *Zone : {"x", "y", "z"})
        Asks.push_back({Zone, double(*rc::gen::inRange(0, 200))});
      const double Before = Ledger.reserved(Now);
      const double Given = sum(Ledger.grant(Asks, Limit, Now));
      RC_ASSERT(Given <= Limit + 1e-6);
      RC_ASSERT(Ledger.reserved(Now) <= std::max(Limit, Before) + 1e-6);
    }
  }));
}

// Guards against a first grant that hits cold caches with the full headroom,
// and against growth that never reaches it.
TEST_CASE("Grants grow in steps") {
  GrantLedger Ledger;
  const std::vector<GrantAsk> Ask{{"x", 1000}};
  CHECK(Ledger.grant(Ask, 100, Start)[0] == 25);
  CHECK(Ledger.grant(Ask, 100, Start + 1s)[0] == 50);
  CHECK(Ledger.grant(Ask, 100, Start + 2s)[0] == 100);
}

// Guards against full grants from old views, against relays that each grant
// the whole region, and against bytes beyond 0.8 of the link.
TEST_CASE("A relay grants its part of a fresh headroom and of the link") {
  const std::vector<SpillAsk> Asks{{"a1", "a", "stock", 1e9, 1e9},
                                   {"a2", "a", "art", 1e9, 1e9}};
  const auto Grant = [&](std::uint32_t Granters, Clock::duration Age) {
    SpillGrantor Relay("b", "relay", Granters);
    Relay.setLink("a", 1000);
    std::vector<SpillGrant> Result;
    // Enough rounds for the growth limit.
    for (int Round = 0; Round < 4; ++Round)
      Result = Relay.grant(Asks, {{"stock", 90, 10, Age}, {"art", 100, 0, Age}},
                           Start + Round * 1s);
    return Result;
  };
  const auto Fresh = Grant(1, 0s);
  REQUIRE(Fresh.size() == 2);
  CHECK(Fresh[0].RequestsPerSecond == Approx(80));
  CHECK(Fresh[0].BytesPerSecond + Fresh[1].BytesPerSecond == Approx(800));
  CHECK(Grant(4, 0s)[0].RequestsPerSecond == Approx(20));
  CHECK(Grant(1, 1500ms)[0].RequestsPerSecond == Approx(40));
  CHECK(Grant(1, 3s).empty());
  SpillGrantor NoLink("b", "relay", 1);
  CHECK(NoLink.grant(Asks, {{"stock", 90, 0, 0s}}, Start).empty());
}

// Guards against requests across regions without credit, beyond its rate or
// after its end.
TEST_CASE("Credits bound requests and bytes and end after 3 s") {
  SpillCredits Credits;
  CHECK(spendAll(Credits, 1, Start, 1s) == 0);
  Credits.apply(grantOf(100, 1e6), Start - 500ms, Start);
  CHECK(spendAll(Credits, 1, Start, 1s) <= 100);
  CHECK(spendAll(Credits, 1, Start + 1s, 1s) >= 99);
  CHECK(spendAll(Credits, 1, Start + 2500ms, 10s) == 0);
  // Unused credit does not add up to a burst.
  Credits.apply(grantOf(100, 1e6), Start + 20s, Start + 20s);
  Credits.apply(grantOf(100, 1e6), Start + 22s, Start + 22s);
  CHECK(spendAll(Credits, 1, Start + 22s, 10ms) <= 11);
  SpillCredits FewBytes;
  FewBytes.apply(grantOf(100, 1000), Start, Start);
  const int Sent = spendAll(FewBytes, 50, Start, 2s);
  CHECK(Sent >= 38);
  CHECK(Sent <= 40);
}

// Guards against a late message that brings back an older, higher grant, and
// against instances that each use the grant of the whole zone.
TEST_CASE("Old grants do not return and zones divide theirs") {
  SpillCredits Credits;
  Credits.apply(grantOf(10, 1e6), Start + 100ms, Start + 200ms);
  Credits.apply(grantOf(1000, 1e6), Start, Start + 200ms);
  CHECK(spendAll(Credits, 1, Start + 200ms, 1s) <= 11);
  const auto Parts = SpillCredits::divide(grantOf(10, 100), {2, 20});
  CHECK(Parts[0].RequestsPerSecond == 2);
  CHECK(Parts[1].RequestsPerSecond == 8);
  CHECK(Parts[1].BytesPerSecond == 80);
}
