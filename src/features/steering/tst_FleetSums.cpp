#include "steering/ColdServerLimiter.h"
#include "steering/MemberView.h"
#include "steering/QuotaLimiter.h"
#include "steering/RegionMix.h"
#include "steering/ShiftLimiter.h"
#include "steering/StableHash.h"
#include "steering/SteeringTestBed.h"

#include <catch2/catch.hpp>

#include <random>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const QuotaBounds Bounds{5s, 0.1, 20};

/// Instances that exchange their demand through records; publish() writes and
/// reads all of them at once.
struct Fleet {
  explicit Fleet(int Size) {
    Clock::pause();
    for (int Index = 0; Index < Size; ++Index) {
      this->Names.push_back("i" + std::to_string(Index));
      this->Views.emplace_back(this->Names.back());
      this->Gates.emplace_back();
    }
    this->publish();
  }
  ~Fleet() { Clock::resume(); }

  void publish() {
    this->StoreTime = Clock::now().time_since_epoch();
    for (std::size_t From = 0; From < this->Names.size(); ++From) {
      if (this->Cut.count(From))
        continue;
      MemberRecord Record =
          testMember(this->Names[From], "r-a", this->StoreTime);
      Record.Demand = this->Gates[From].demand(Clock::now());
      for (std::size_t To = 0; To < this->Views.size(); ++To)
        if (!this->Cut.count(To)) {
          this->Views[To].apply(Record);
          this->Views[To].recordRead(this->StoreTime, false);
        }
    }
  }

  std::vector<std::string> Names;
  std::vector<MemberView> Views;
  std::vector<QuotaLimiter> Gates;
  std::set<std::size_t> Cut;
  Clock::duration StoreTime{0};
};

} // namespace

TEST_CASE("A workspace whose demand jumps and moves between instances stays "
          "within its rate and burst over all instances",
          "[quota]") {
  const auto Seed = GENERATE(1, 2, 3, 4, 5, 6);
  std::mt19937 Random(Seed);
  Fleet F(12);
  SteeringWorkspace Workspace;
  Workspace.Name = "w";
  Workspace.Rate = 200;
  Workspace.Burst = 200;
  std::deque<std::pair<Clock::time_point, int>> Admitted;
  int InWindow = 0;
  int Most = 0;
  std::vector<double> Weights(12, 1);
  for (int Step = 0; Step < 3000; ++Step) {
    Clock::advance(10ms);
    if (Step % 200 == 0)
      F.publish();
    if (Step % 300 == 0)
      for (double &Weight : Weights)
        Weight = std::uniform_real_distribution<>(0, 1)(Random);
    const int Offered = Step > 1000 ? 16 : 1;
    int Count = 0;
    std::discrete_distribution<std::size_t> Pick(Weights.begin(),
                                                 Weights.end());
    for (int Index = 0; Index < Offered; ++Index) {
      const std::size_t To = Pick(Random);
      if (F.Gates[To].acquire(Workspace, F.Views[To], Bounds, Clock::now()) ==
          Clock::duration::zero())
        ++Count;
    }
    Admitted.emplace_back(Clock::now(), Count);
    InWindow += Count;
    while (Admitted.front().first + 5s <= Clock::now()) {
      InWindow -= Admitted.front().second;
      Admitted.pop_front();
    }
    Most = std::max(Most, InWindow);
  }
  CAPTURE(Seed, Most);
  // Rate over the 5 s window plus burst, a tenth more, and a tolerance of 20.
  CHECK(Most <= (200 * 5 + 200) * 1.1 + 20);
}

TEST_CASE("A refused request does not use up the workspace's rate", "[quota]") {
  Clock::pause();
  MemberView Members("i0");
  QuotaLimiter Gate;
  SteeringWorkspace Workspace;
  Workspace.Name = "w";
  Workspace.Rate = 2;
  Workspace.Burst = 2;
  REQUIRE(Gate.acquire(Workspace, Members, Bounds, Clock::now()) ==
          Clock::duration::zero());
  while (Gate.acquire(Workspace, Members, Bounds, Clock::now()) ==
         Clock::duration::zero()) {
  }
  for (int Index = 0; Index < 10; ++Index) {
    Gate.refund(Workspace);
    CHECK(Gate.acquire(Workspace, Members, Bounds, Clock::now()) ==
          Clock::duration::zero());
  }
  CHECK(Gate.acquire(Workspace, Members, Bounds, Clock::now()) >
        Clock::duration::zero());
  Clock::resume();
}

TEST_CASE(
    "The rate shares of all instances with the same records add up to one",
    "[quota]") {
  Fleet F(7);
  SteeringWorkspace Workspace;
  Workspace.Name = "w";
  Workspace.Rate = 100;
  for (int Index = 0; Index < 40; ++Index)
    F.Gates[2].acquire(Workspace, F.Views[2], Bounds, Clock::now());
  double Before = 0;
  for (const MemberView &View : F.Views)
    Before += View.rateShare("w");
  CHECK(Before == Approx(1));
  F.publish();
  double After = 0;
  for (const MemberView &View : F.Views)
    After += View.rateShare("w");
  CHECK(After == Approx(1));
  CHECK(F.Views[2].rateShare("w") > 0.45);
}

TEST_CASE("All instances together stay within the rate limit of a cold server",
          "[cold]") {
  Fleet F(18);
  std::vector<ColdServerLimiter> Gates(18);
  BackendState Server;
  Server.Record = testBackend("cold", "r-a");
  Server.Hash = stableHash("cold");
  std::deque<Clock::time_point> Sent;
  std::size_t Most = 0;
  for (int Step = 0; Step < 300; ++Step) {
    Clock::advance(10ms);
    for (std::size_t Index = 0; Index < Gates.size(); ++Index)
      if (Gates[Index].tryTake(Server, 10, F.Views[Index], Clock::now()))
        Sent.push_back(Clock::now());
    while (!Sent.empty() && Sent.front() + 1s <= Clock::now())
      Sent.pop_front();
    Most = std::max(Most, Sent.size());
  }
  CHECK(Most >= 5);
  CHECK(Most <= 15);
}

TEST_CASE("A killed instance is no longer announced after a few seconds, and "
          "no record expires while the store is unavailable",
          "[members]") {
  MemberView View("i0");
  View.setStoreTime(100s);
  View.apply(testMember("i0", "r-a", 100s));
  View.apply(testMember("i1", "r-a", 100s));
  CHECK(View.addressesFor("r-a", "r", {}, 64).size() == 2);
  // The estimated store time does not advance while the store is unavailable.
  CHECK(View.live().size() == 2);
  View.setStoreTime(106s);
  View.apply(testMember("i0", "r-a", 106s));
  CHECK(View.addressesFor("r-a", "r", {}, 64).size() == 1);
}

TEST_CASE("Callers are sent to the large instances of a zone, and to all of "
          "them when too few large ones are left",
          "[members]") {
  MemberView View("small1");
  View.setStoreTime(10s);
  const auto Put = [&](const std::string &Name, double Capacity) {
    MemberRecord Record = testMember(Name, "s-a", 10s);
    Record.Capacity = Capacity;
    View.apply(Record);
  };
  for (const char *Name : {"small1", "small22", "small333"})
    Put(Name, 0.1);
  CHECK(View.addressesFor("s-a", "s", {}, 64).size() == 3);
  Put("large4444", 0.5);
  CHECK(View.addressesFor("s-a", "s", {}, 64).size() == 4);
  Put("large55555", 0.5);
  CHECK(View.addressesFor("s-a", "s", {}, 64).size() == 2);
  CHECK_FALSE(View.isActive("small1"));
  CHECK(View.isActive("large4444"));
}

TEST_CASE("The record of a standby expires later than that of a serving "
          "instance, and a standby holds no share",
          "[members]") {
  MemberView View("a");
  MemberRecord Standby = testMember("b", "s-a", 10s);
  Standby.Standby = true;
  View.apply(testMember("a", "s-a", 10s));
  View.apply(Standby);
  View.setStoreTime(20s);
  CHECK(View.live() == std::vector<std::string>{"a", "b"});
  CHECK(View.shareHolderCount() == 1);
  CHECK(View.nearbyAddresses("s-a", "s", &MemberRecord::Address).empty());
  CHECK(View.inService() == std::vector<std::string>{"a"});
}

// Guards against callers that are sent to a standby whose failure was not yet
// detected.
TEST_CASE("A standby is not announced to callers before it leaves standby",
          "[members]") {
  MemberView View("x");
  View.setStoreTime(10s);
  MemberRecord Standby = testMember("b", "s-a", 10s);
  Standby.Standby = true;
  View.apply(Standby);
  View.apply(testMember("c", "s-b", 10s));
  CHECK(View.addressesFor("s-a", "s", {}, 64).size() == 1);
  Standby.Standby = false;
  View.apply(Standby);
  CHECK(View.addressesFor("s-a", "s", {}, 64).size() == 2);
}

TEST_CASE("One instance of a region reads a table for the others, and another "
          "one when it leaves",
          "[members]") {
  std::set<std::string> Readers;
  std::string Before;
  for (const bool Gone : {false, true}) {
    Readers.clear();
    int Own = 0;
    for (const char *Self : {"i0", "i1", "i2"}) {
      MemberView View(Self);
      View.setStoreTime(10s);
      for (const char *Name : {"i0", "i1", "i2", "far", "standby"}) {
        MemberRecord Record =
            testMember(Name, Name == std::string("far") ? "r-a" : "s-a", 10s);
        Record.PeerAddress = std::string("10.0.0.1:") + Name;
        Record.Standby = Name == std::string("standby");
        Record.Leaving = Gone && Name == Before;
        View.apply(Record);
      }
      const MemberRecord *Reader = View.tableReader("s", "t");
      if (Reader)
        Readers.insert(Reader->Name);
      else
        ++Own;
    }
    REQUIRE(Readers.size() == 1);
    CHECK(Readers.count(Before) == 0);
    Before = *Readers.begin();
    CHECK(Own == 1);
    CHECK(Before != "far");
    CHECK(Before != "standby");
  }
}

TEST_CASE("A caller is sent to its availability zone, its region, the homes of "
          "its routes, and then anywhere",
          "[members]") {
  MemberView View("x");
  View.setStoreTime(10s);
  View.apply(testMember("a1", "s-a", 10s));
  View.apply(testMember("a22", "s-a", 10s));
  View.apply(testMember("b333", "s-b", 10s));
  View.apply(testMember("c4444", "l-a", 10s));
  CHECK(View.addressesFor("s-a", "s", {}, 64).size() == 2);
  CHECK(View.addressesFor("s-b", "s", {}, 64).size() == 3);
  CHECK(View.addressesFor("q-a", "q", {"l"}, 64).size() == 1);
  CHECK(View.addressesFor("q-a", "q", {}, 64).size() == 4);
  CHECK(View.addressesFor("q-a", "q", {}, 3).size() == 3);
}

TEST_CASE(
    "The share of a region stays within the shift limit between two windows",
    "[shift]") {
  Clock::pause();
  ShiftLimiter Limiter(0.15);
  int Away = 0;
  for (int Step = 0; Step < 800; ++Step) {
    Clock::advance(10ms);
    // From 4 s on, all requests would go to the other region.
    const bool Wants = Step >= 400;
    const auto Shifts = Limiter.evaluate(Clock::now());
    const bool Goes = Wants && !Shifts.Blocked.count("other");
    Limiter.recordRequest(Goes ? "other" : "own", Clock::now());
    Away += Goes && Step < 600 ? 1 : 0;
  }
  CHECK(Away > 4);
  CHECK(Away <= 200 * 0.15);
  Clock::resume();
}

// Guards against a shift that the window before a drop of the traffic hides:
// 40 of 100 requests changed their region when the callers' retries remained.
TEST_CASE("The cap on the shift holds when the traffic drops", "[shift]") {
  Clock::pause();
  constexpr std::size_t Instances = 10;
  constexpr double MaxShift = 0.15;
  const auto Before = GENERATE(0.0, 0.11);
  const auto Seed = GENERATE(range(1U, 9U));
  std::vector<ShiftLimiter> Limiters(Instances, ShiftLimiter(MaxShift));
  std::mt19937 Random(Seed);
  std::uniform_real_distribution<> Uniform;
  int Sent = 0;
  int Away = 0;
  for (int Step = 0; Step < 600; ++Step) {
    Clock::advance(10ms);
    // After 4 s the rate of an instance drops from 100 to 8 requests a second.
    const bool Dropped = Step >= 400;
    for (ShiftLimiter &Limiter : Limiters) {
      if (Uniform(Random) > (Dropped ? 0.08 : 1.0))
        continue;
      const bool Wants = Dropped || Uniform(Random) < Before;
      const auto Shifts = Limiter.evaluate(Clock::now());
      const bool Goes = Wants && !Shifts.Blocked.count("other");
      Limiter.recordRequest(Goes ? "other" : "own", Clock::now());
      Sent += Dropped ? 1 : 0;
      Away += Dropped && Goes ? 1 : 0;
    }
  }
  Clock::resume();
  CAPTURE(Before, Seed, Sent, Away);
  CHECK(Sent > 100);
  CHECK(Away <= Sent * (Before + MaxShift));
}

TEST_CASE("The first requests follow the mix of the regions' slots, so that "
          "the share does not jump in the second window",
          "[shift]") {
  Clock::pause();
  BackendPool Pool({{"s-a", "s"}, {"l-a", "l"}, {"m-a", "m"}});
  Pool.apply(testBackend("s0", "s-a", 3), Clock::now());
  for (const char *Id : {"l0", "l11", "l222", "l3333"})
    Pool.apply(testBackend(Id, "l-a", 3), Clock::now());
  for (const char *Id : {"m0", "m11", "m222", "m3333"})
    Pool.apply(testBackend(Id, "m-a", 3), Clock::now());
  const auto Mix = regionMix(Pool.all(), "s");
  CHECK(Mix.at("s") == Approx(1.0 / 3));
  CHECK(Mix.at("l") == Approx(1.0 / 3));
  CHECK(regionMix(Pool.all(), "l").at("l") == 1);
  ShiftLimiter Limiter(0.15);
  Limiter.setInitialShares(Mix);
  int Own = 0;
  for (int Step = 0; Step < 100; ++Step) {
    Clock::advance(20ms);
    const bool Full = Limiter.evaluate(Clock::now()).Deprioritized.count("s");
    Limiter.recordRequest(Full ? "l" : "s", Clock::now());
    Own += Full ? 0 : 1;
  }
  CHECK(Own < 50);
  Clock::resume();
}

TEST_CASE("A small workspace within its rate is not refused because its "
          "requests come to instances unevenly",
          "[quota]") {
  std::mt19937 Random(7);
  Fleet F(12);
  SteeringWorkspace Workspace;
  Workspace.Name = "w";
  Workspace.Rate = 25;
  Workspace.Burst = 25;
  int Offered = 0;
  int Refused = 0;
  for (int Step = 0; Step < 6000; ++Step) {
    Clock::advance(10ms);
    if (Step % 240 == 0)
      F.publish();
    if (std::uniform_real_distribution<>()(Random) > 0.156)
      continue;
    const std::size_t To = std::uniform_int_distribution<>(0, 11)(Random);
    ++Offered;
    if (F.Gates[To].acquire(Workspace, F.Views[To], Bounds, Clock::now()) !=
        Clock::duration::zero())
      ++Refused;
  }
  CAPTURE(Offered, Refused);
  CHECK(Refused < Offered / 20);
}
