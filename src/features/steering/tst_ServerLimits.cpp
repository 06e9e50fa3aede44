#include "steering/MemberView.h"
#include "steering/ServerLimits.h"
#include "steering/ServerRateLimiter.h"
#include "steering/StableHash.h"
#include "steering/SteeringTestBed.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{1000s};

/// Instances of two regions that know of each other.
struct Fleet {
  explicit Fleet(int Size) {
    for (int To = 0; To < Size; ++To) {
      this->Views.emplace_back(nameOf(To));
      for (int From = 0; From < Size; ++From)
        this->Views.back().apply(
            testMember(nameOf(From), regionOf(From) + "-1", 0s));
      this->Views.back().recordRead(0s, false);
      this->Limiters.emplace_back(regionOf(To));
    }
  }

  static std::string nameOf(int Index) { return "i" + std::to_string(Index); }
  static std::string regionOf(int Index) { return Index % 2 ? "a" : "b"; }

  /// Every instance tries to send 50 times a second. Returns when it may.
  std::vector<Clock::time_point> run(const BackendState &Server, double Limit,
                                     Clock::duration Time) {
    std::vector<Clock::time_point> Sent;
    for (Clock::time_point Now = Start; Now < Start + Time; Now += 20ms)
      for (std::size_t Index = 0; Index < this->Limiters.size(); ++Index)
        if (this->Limiters[Index].tryTake(Server, Limit, this->Views[Index],
                                          Now))
          Sent.push_back(Now);
    return Sent;
  }

  std::vector<MemberView> Views;
  std::vector<ServerRateLimiter> Limiters;
};

BackendState serverOf(const std::string &Region) {
  BackendState Server;
  Server.Record.Id = "s";
  Server.Region = Region;
  Server.Hash = stableHash(Server.Record.Id);
  return Server;
}

std::size_t mostInWindow(const std::vector<Clock::time_point> &Times,
                         Clock::duration Window) {
  std::size_t Most = 0;
  std::deque<Clock::time_point> Recent;
  for (const Clock::time_point Time : Times) {
    Recent.push_back(Time);
    while (Recent.front() + Window <= Time)
      Recent.pop_front();
    Most = std::max(Most, Recent.size());
  }
  return Most;
}

} // namespace

// Guards against a sum over the fleet that is above, or far below, the limit.
TEST_CASE("The requests of all instances stay within a server's limit") {
  const int Size = GENERATE(1, 2, 12, 300);
  const double Limit = GENERATE(0.0, 0.3, 1.0, 4.9, 50.0, 1000.0);
  CAPTURE(Size, Limit);
  Fleet F(Size);
  constexpr Clock::duration Time = 20s;
  const auto Sent = F.run(serverOf("a"), Limit, Time);
  CHECK(double(mostInWindow(Sent, 4s)) <= 4 * Limit * 1.5 + 5);
  const double Usable = std::min(Limit, 50.0 * Size) * 20;
  CHECK(double(Sent.size()) >= std::floor(0.6 * Usable));
}

// Guards against a limited server that only instances of other regions may use.
TEST_CASE("Instances of the server's region share its limit first") {
  Fleet F(100);
  const BackendState Server = serverOf("a");
  int Near = 0;
  int Far = 0;
  for (std::size_t Index = 0; Index < F.Limiters.size(); ++Index) {
    F.Limiters[Index].tryTake(Server, 5, F.Views[Index], Start);
    if (F.Limiters[Index].tryTake(Server, 5, F.Views[Index], Start + 10s))
      ++(Index % 2 ? Near : Far);
  }
  CHECK(Near == 5);
  CHECK(Far == 0);
}

// Guards against a limit that ends too early, or never.
TEST_CASE("A limit holds until a later answer names none") {
  BackendState Server = serverOf("a");
  CHECK_FALSE(noteLimit(Server, std::nullopt, Start, Start, 10s));
  CHECK(noteLimit(Server, 5.0, Start, Start + 1s, 11s));
  CHECK_FALSE(noteLimit(Server, 4.0, Start, Start + 2s, 12s));
  CHECK(currentLimit(Server, 12s) == 4.0);
  CHECK_FALSE(noteLimit(Server, std::nullopt, Start + 1s, Start + 3s, 13s));
  CHECK(currentLimit(Server, 13s) == 4.0);
  CHECK(currentLimit(Server, 41s) == 4.0);
  CHECK_FALSE(currentLimit(Server, 42s));
  CHECK(noteLimit(Server, std::nullopt, Start + 3s, Start + 4s, 14s));
  CHECK_FALSE(currentLimit(Server, 14s));
}

// Guards against older reports of other instances that replace newer ones.
TEST_CASE("The newest report about a limit counts") {
  BackendState Server = serverOf("a");
  CHECK(adoptLimit(Server, {5.0, 10s}, Start));
  CHECK_FALSE(adoptLimit(Server, {std::nullopt, 9s}, Start));
  CHECK_FALSE(adoptLimit(Server, {6.0, 11s}, Start));
  CHECK(currentLimit(Server, 12s) == 6.0);
  CHECK(adoptLimit(Server, {std::nullopt, 12s}, Start));
  CHECK_FALSE(currentLimit(Server, 12s));
}

// Guards against an outdated limit that instances tell each other for ever.
TEST_CASE("An instance reports only what a server said to it") {
  BackendPool Servers({});
  BackendRecord Record;
  for (const char *Id : {"told", "adopted"}) {
    Record.Id = Id;
    Record.Address = Id;
    Servers.apply(Record, Start);
  }
  noteLimit(*Servers.find("told"), 5.0, Start, Start, 10s);
  adoptLimit(*Servers.find("adopted"), {5.0, 10s}, Start);
  const auto Reports = limitReports(Servers, 11s);
  REQUIRE(Reports.size() == 1);
  CHECK(Reports.begin()->first == "told");
  CHECK(limitReports(Servers, 20s).empty());
  forgetLapsedLimits(Servers, 39s);
  CHECK(Servers.find("told")->Limit.RequestsPerSecond);
  forgetLapsedLimits(Servers, 40s);
  CHECK_FALSE(Servers.find("told")->Limit.RequestsPerSecond);
}
