#include "plans/PlanWorld.h"
#include "plans/RolloutTraffic.h"

#include "model/FleetConfig.h"
#include "rollout/RolloutSchedule.h"

#include <catch2/catch.hpp>

using namespace rr;
using namespace std::chrono_literals;

namespace {

using Quality = RolloutTraffic::Quality;

constexpr auto Length = 600s;

/// A rollout of ten minutes at six instances with 120 requests a second.
struct RolloutRun {
  RolloutRun(std::uint64_t Seed, RolloutTraffic::Candidate Version2)
      : Traffic(Seed, World.names(), 120, std::move(Version2)) {
    this->World.hold(this->World.One);
    this->World.OnTick = [this] {
      if (!this->Evidence && this->Traffic.HarmedRequests >= 10)
        this->Evidence = Clock::now();
      const auto ConfigOf =
          [this](const std::string &Name) -> const FleetConfig & {
        return this->World.Fleet.adopted(Name);
      };
      this->Traffic.tick(100ms, ConfigOf);
      this->World.Fleet.Reports = this->Traffic.reports();
      const auto Stop = this->Traffic.stopOf(this->Id);
      if (Stop && this->StopsArrive)
        this->World.Fleet.Stops[this->Id] = *Stop;
    };
    // The instances know the stable version's latency from before.
    this->World.advance(60s);
    this->Id = this->World.start(RollOutVersion{
        "stock", "2", this->World.wallIn(Length), DeadlineAction::TakeBack});
  }

  Plan finish() { return this->World.runUntilEnded(this->Id, Length + 60s); }

  PlanWorld World;
  RolloutTraffic Traffic;
  std::string Id;
  /// Time at which ten requests had failed or were slow.
  std::optional<Clock::time_point> Evidence;
  bool StopsArrive = true;
};

struct BadKind {
  const char *Name;
  RolloutTraffic::Candidate Version2;
};

const Quality Good;

std::vector<BadKind> badKinds() {
  return {
      {"at once",
       [](auto, auto, auto) {
         return Quality{0.5, 1};
       }},
      {"late",
       [](Clock::duration Since, auto, auto) {
         return Since < 460s ? Good : Quality{0.5, 1};
       }},
      {"under load",
       [](auto, double Share, auto) {
         return Share < 0.2 ? Good : Quality{0.4, 1};
       }},
      {"slow",
       [](auto, auto, auto) {
         return Quality{0.002, 4};
       }},
      {"one route",
       [](auto, auto, const std::string &Route) {
         return Route == "write" ? Quality{0.6, 1} : Good;
       }},
  };
}

} // namespace

// Guards against good versions that are late, or taken back for noise.
TEST_CASE("A good version is rolled out by its deadline") {
  for (std::uint64_t Seed = 0; Seed < 3; ++Seed) {
    RolloutRun Run(Seed, [](auto, auto, auto) { return Good; });
    const WallTime Deadline = Run.World.wallIn(Length);
    const Plan End = Run.finish();
    INFO(End.Result);
    CHECK(End.State == PlanState::Finished);
    CHECK(End.History.back().At <= Deadline);
    const VersionSplit Split = Run.World.Fleet.current().Splits.front();
    CHECK(Split.StableVersion == "2");
    CHECK(Split.CanaryVersion.empty());
  }
}

// Guards against blame for an outage that hits both versions while the share
// grows from 5% to 50%.
TEST_CASE("An outage of both versions does not take a good one back") {
  for (std::uint64_t Seed = 0; Seed < 3; ++Seed) {
    RolloutRun Run(Seed, [](auto, auto, auto) { return Good; });
    Run.Traffic.Surroundings = [](Clock::duration Since) {
      return Since > 320s && Since < 510s ? 0.05 : 0.0;
    };
    double Least = 1;
    double Most = 0;
    const auto Before = Run.World.OnTick;
    Run.World.OnTick = [&] {
      Before();
      const auto &Config = Run.World.Fleet.adopted("i2");
      const double Share = Config.Splits.front().CanaryShare;
      if (Run.Traffic.Surroundings(Run.Traffic.age()) > 0) {
        Least = std::min(Least, Share);
        Most = std::max(Most, Share);
      }
    };
    const Plan End = Run.finish();
    INFO(End.Result);
    CHECK(End.State == PlanState::Finished);
    CHECK(Least == 0.05);
    CHECK(Most == 0.5);
  }
}

// Guards against each kind of bad version that the design page names: it is
// taken back, says why, and gets nothing 5 s after enough of its faults are
// seen. Ten failures or slow answers are enough at these rates.
TEST_CASE("A bad version of any kind is taken back") {
  for (const BadKind &Kind : badKinds()) {
    INFO(Kind.Name);
    RolloutRun Run(7, Kind.Version2);
    const Plan End = Run.finish();
    CHECK(End.State == PlanState::TakenBack);
    CHECK(End.Result.find("the version is bad") != std::string::npos);
    CHECK(Run.World.Fleet.current().Splits.front().CanaryVersion.empty());
    REQUIRE(Run.Traffic.LastFaulty);
    if (Run.Evidence)
      CHECK(*Run.Traffic.LastFaulty - *Run.Evidence <= 5s);
  }
}

// Guards against a bad version that stays because the store is down: the
// instances stop it by themselves, and the take-back is written later.
TEST_CASE("A bad version is stopped without the store") {
  RolloutRun Run(11, [](Clock::duration Since, auto, auto) {
    return Since < 360s ? Good : Quality{0.6, 1};
  });
  Run.World.advance(295s);
  Run.World.Store.Down = true;
  Run.World.advance(60s);
  REQUIRE(Run.Traffic.LastFaulty);
  CHECK(*Run.Traffic.LastFaulty - *Run.Traffic.FirstFault <= 5s);
  Run.World.Store.Down = false;
  CHECK(Run.finish().State == PlanState::TakenBack);
}

// Guards against a take-back that depends on the instances' stops: the lease
// holder sees the counts of all of them.
TEST_CASE("The lease holder takes a bad version back on the reports alone") {
  RolloutRun Run(13, [](auto, auto, auto) { return Quality{0.5, 1}; });
  Run.StopsArrive = false;
  Run.Traffic.Guarded = false;
  CHECK(Run.finish().State == PlanState::TakenBack);
  REQUIRE(Run.Traffic.LastFaulty);
  // It may come before the tenth harmed request.
  if (Run.Evidence)
    CHECK(*Run.Traffic.LastFaulty - *Run.Evidence <= 5s);
}

// Guards against a stop that the lease holder overlooks, and one that passes
// to the next rollout of the same version.
TEST_CASE("The next rollout of a version begins without the old stop") {
  bool Faulty = true;
  RolloutRun Run(3, [&](auto, auto, auto) {
    return Faulty ? Quality{0.7, 1} : Good;
  });
  CHECK(Run.finish().State == PlanState::TakenBack);
  Faulty = false;
  Run.Id = Run.World.start(RollOutVersion{
      "stock", "2", Run.World.wallIn(Length), DeadlineAction::TakeBack});
  CHECK(Run.finish().State == PlanState::Finished);
}

// Guards against a rollout that begins again, or skips a stage, when the lease
// changes hands in every stage.
TEST_CASE("A rollout goes on under other holders and is still on time") {
  RolloutRun Run(5, [](auto, auto, auto) { return Good; });
  std::size_t Done = 0;
  double Last = 0;
  bool Two = false;
  const auto Before = Run.World.OnTick;
  Run.World.OnTick = [&] {
    Before();
    const double Share = Run.World.Fleet.current().Splits.front().CanaryShare;
    if (Share == Last || Share == 0)
      return;
    REQUIRE(Done < RolloutSchedule::StageCount);
    CHECK(Share == RolloutSchedule::Shares[Done++]);
    Last = Share;
    Two = !Two;
    Run.World.hold(Two ? Run.World.Two : Run.World.One);
  };
  const WallTime Deadline = Run.World.wallIn(Length);
  const Plan End = Run.finish();
  CHECK(End.State == PlanState::Finished);
  CHECK(End.History.back().At <= Deadline);
  CHECK(Done == RolloutSchedule::StageCount);
}

// Guards against a take-back of a rollout in one jump: the old version's
// servers get a quarter of the traffic at a time.
TEST_CASE("An operator's take-back of a rollout goes in capped steps") {
  RolloutRun Run(9, [](auto, auto, auto) { return Good; });
  std::vector<double> Shares;
  Run.World.Fleet.OnAdopt = [&](const std::string &Name,
                                const FleetConfig &Config) {
    if (Name == "i2")
      Shares.push_back(Config.Splits.front().CanaryShare);
  };
  while (Run.World.Fleet.current().Splits.front().CanaryShare < 1)
    Run.World.advance(1s);
  Run.World.ask(
      [&] { return Run.World.Two.Plans.takeBack(Run.Id, "ann", "changed"); });
  CHECK(Run.finish().State == PlanState::TakenBack);
  REQUIRE(Shares.size() > 4);
  CHECK(std::vector<double>(Shares.end() - 4, Shares.end()) ==
        std::vector<double>{0.75, 0.5, 0.25, 0});
}
