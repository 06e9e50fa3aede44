#include "bench/RolloutBench.h"

#include "plans/PlanWorld.h"
#include "plans/RolloutTraffic.h"
#include "rollout/RolloutSchedule.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace rr {

namespace {

using namespace std::chrono_literals;
using Quality = RolloutTraffic::Quality;

constexpr std::chrono::seconds Length{900};
constexpr std::chrono::seconds WarmUp{60};

/// What the simulation takes from a deployment of the design page: twelve
/// instances, the delay between regions, and the rate of its first service by
/// its servers and slots at a third of what they can do in 8 ms an answer.
struct Deployment {
  const char *Name;
  double RequestsPerSecond;
  Clock::duration AdoptionDelay;
};

const std::vector<Deployment> Deployments{
    {"A", 400, 335ms},
    {"B", 240, 312ms},
};

/// The deployment of this name, or all when it is empty.
std::vector<Deployment> chosen(const std::string &Only) {
  std::vector<Deployment> Result;
  for (const Deployment &Item : Deployments)
    if (Only.empty() || Only == Item.Name)
      Result.push_back(Item);
  return Result;
}

struct Kind {
  const char *Name;
  bool Bad;
  RolloutTraffic::Candidate Version2;
  /// A third service fails 5% of both versions' requests for two minutes.
  bool Surroundings = false;
};

const Quality Good;
constexpr Clock::duration LateAt = WarmUp + 500s;

const std::vector<Kind> Kinds{
    {"good", false, [](auto, auto, auto) { return Good; }},
    {"good, outage", false, [](auto, auto, auto) { return Good; }, true},
    {"fails at once", true,
     [](auto, auto, auto) {
       return Quality{0.5, 1};
     }},
    {"fails 5%", true,
     [](auto, auto, auto) {
       return Quality{0.05, 1};
     }},
    {"fails late", true,
     [](Clock::duration Since, auto, auto) {
       return Since < LateAt ? Good : Quality{0.5, 1};
     }},
    {"under load", true,
     [](auto, double Share, auto) {
       return Share < 0.2 ? Good : Quality{0.3, 1};
     }},
    {"slow x3", true,
     [](auto, auto, auto) {
       return Quality{0.002, 3};
     }},
    {"one route", true,
     [](auto, auto, const std::string &Route) {
       return Route == "write" ? Quality{0.4, 1} : Good;
     }},
};

struct Result {
  bool TakenBack = false;
  bool OnTime = false;
  double StopSeconds = 0;
  std::uint64_t FaultyRequests = 0;
};

double outage(Clock::duration Since) {
  return Since > LateAt && Since < LateAt + 120s ? 0.05 : 0;
}

FleetConfig splitConfig(std::uint64_t Version, double Share) {
  FleetConfig Config;
  Config.Version = Version;
  Config.Splits.push_back(
      {"stock", "1", Share > 0 ? "2" : "", Share, Share > 0 ? "baseline" : ""});
  return Config;
}

Result measured(const RolloutTraffic &Traffic, bool TakenBack, bool OnTime) {
  Result Found{TakenBack, OnTime, 0, Traffic.FaultyRequests};
  if (Traffic.FirstFault && Traffic.LastFaulty)
    Found.StopSeconds =
        std::chrono::duration<double>(*Traffic.LastFaulty - *Traffic.FirstFault)
            .count();
  return Found;
}

/// The real plan store, executor and guards.
Result runOwn(const Deployment &Fleet, const Kind &Version,
              std::uint64_t Seed) {
  PlanWorld World(12);
  World.Fleet.AdoptionDelay = Fleet.AdoptionDelay;
  World.hold(World.One);
  RolloutTraffic Traffic(Seed, World.names(), Fleet.RequestsPerSecond,
                         Version.Version2);
  if (Version.Surroundings)
    Traffic.Surroundings = outage;
  std::string Id;
  const auto ConfigOf = [&](const std::string &Name) -> const FleetConfig & {
    return World.Fleet.adopted(Name);
  };
  World.OnTick = [&] {
    Traffic.tick(100ms, ConfigOf);
    World.Fleet.Reports = Traffic.reports();
    if (const auto Stop = Traffic.stopOf(Id))
      World.Fleet.Stops[Id] = *Stop;
  };
  World.advance(WarmUp);
  const WallTime Deadline = World.wallIn(Length);
  Id = World.start(
      RollOutVersion{"stock", "2", Deadline, DeadlineAction::TakeBack, 0s});
  const Plan End = World.runUntilEnded(Id, Length + 60s);
  return measured(Traffic, End.State == PlanState::TakenBack,
                  End.State == PlanState::Finished &&
                      End.History.back().At <= Deadline);
}

/// Share of failures of the candidate since \p Before, and its requests.
std::pair<double, std::uint64_t> failuresSince(const RolloutTraffic &Traffic,
                                               VersionCounts Before) {
  VersionCounts Now = totalOf(Traffic.Totals, "2");
  Now -= Before;
  const double Share = Now.Requests == 0
                           ? 0
                           : static_cast<double>(Now.Failures) /
                                 static_cast<double>(Now.Requests);
  return {Share, Now.Requests};
}

/// Baselines: the same stages in equal parts of the time. The threshold rule
/// looks each second at the last 30 s and takes back above 2% failures of at
/// least 20 requests; the fixed-time rule looks at the end of each stage.
Result runBaseline(const Deployment &Fleet, const Kind &Version,
                   std::uint64_t Seed, bool EachSecond) {
  constexpr double Threshold = 0.02;
  constexpr std::uint64_t LeastRequests = 20;
  PlanWorld World(12);
  RolloutTraffic Traffic(Seed, World.names(), Fleet.RequestsPerSecond,
                         Version.Version2);
  if (Version.Surroundings)
    Traffic.Surroundings = outage;
  Traffic.Guarded = false;
  FleetConfig Config = splitConfig(1, 0);
  const auto ConfigOf = [&](const std::string &) -> const FleetConfig & {
    return Config;
  };
  const auto Run = [&](Clock::duration Time) {
    for (Clock::duration Done{0}; Done < Time; Done += 100ms) {
      Clock::advance(100ms);
      Traffic.tick(100ms, ConfigOf);
    }
  };
  Run(WarmUp);
  const int StageSeconds =
      static_cast<int>(Length.count() / RolloutSchedule::StageCount);
  std::vector<VersionCounts> Seconds;
  for (std::size_t Stage = 0; Stage < RolloutSchedule::StageCount; ++Stage) {
    Config = splitConfig(2 + Stage, RolloutSchedule::Shares[Stage]);
    const VersionCounts StageBegin = totalOf(Traffic.Totals, "2");
    for (int Second = 1; Second <= StageSeconds; ++Second) {
      Run(1s);
      Seconds.push_back(totalOf(Traffic.Totals, "2"));
      const std::size_t Old = Seconds.size() > 30 ? Seconds.size() - 31 : 0;
      const VersionCounts Before =
          EachSecond ? Seconds.size() > 30 ? Seconds[Old] : VersionCounts()
                     : StageBegin;
      const auto [Share, Requests] = failuresSince(Traffic, Before);
      const bool Looks = EachSecond || Second == StageSeconds;
      if (!Looks || Requests < LeastRequests || Share <= Threshold)
        continue;
      // The new configuration reaches the instances as fast as a plan's.
      Run(Fleet.AdoptionDelay);
      return measured(Traffic, true, false);
    }
  }
  return measured(Traffic, false, true);
}

double percent(std::size_t Part, std::size_t Whole) {
  return Whole == 0
             ? 0
             : 100.0 * static_cast<double>(Part) / static_cast<double>(Whole);
}

double middle(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(Part * Last)];
}

void printRow(const Deployment &Fleet, const char *Rule, const Kind &Version,
              const std::vector<Result> &Results) {
  std::size_t Back = 0;
  std::size_t OnTime = 0;
  std::vector<double> Stops;
  std::vector<double> Faulty;
  for (const Result &Item : Results) {
    Back += Item.TakenBack;
    OnTime += Item.OnTime;
    if (Item.TakenBack)
      Stops.push_back(Item.StopSeconds);
    Faulty.push_back(static_cast<double>(Item.FaultyRequests));
  }
  std::printf("%-2s %-10s %-14s %9.1f%% %8.1f%% %9.1f %9.1f %11.0f %11.0f\n",
              Fleet.Name, Rule, Version.Name, percent(Back, Results.size()),
              Version.Bad ? 0 : percent(OnTime, Results.size()),
              middle(Stops, 0.5), middle(Stops, 1), middle(Faulty, 0.5),
              middle(Faulty, 1));
  std::fflush(stdout);
}

void measureRollouts(std::uint64_t Seeds, const std::string &Only) {
  std::printf("rollouts of %lld s, %llu seeds; stop: seconds from the first "
              "fault to the last faulty request\n",
              static_cast<long long>(Length.count()),
              static_cast<unsigned long long>(Seeds));
  std::printf("%-2s %-10s %-14s %10s %9s %9s %9s %11s %11s\n", "", "rule",
              "version", "taken back", "on time", "stop p50", "stop max",
              "faulty p50", "faulty max");
  for (const Deployment &Fleet : chosen(Only))
    for (const Kind &Version : Kinds) {
      std::vector<Result> Own;
      std::vector<Result> Threshold;
      std::vector<Result> FixedTime;
      for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
        Own.push_back(runOwn(Fleet, Version, Seed));
        Threshold.push_back(runBaseline(Fleet, Version, Seed, true));
        FixedTime.push_back(runBaseline(Fleet, Version, Seed, false));
      }
      printRow(Fleet, "comparison", Version, Own);
      printRow(Fleet, "threshold", Version, Threshold);
      printRow(Fleet, "fixed time", Version, FixedTime);
    }
}

/// More seeds for the share of good versions that are taken back, which is
/// too small to show on a few.
void measureGoodVersions(std::uint64_t Seeds, const std::string &Only) {
  std::printf("good versions alone, %llu seeds\n",
              static_cast<unsigned long long>(Seeds));
  for (const Deployment &Fleet : chosen(Only)) {
    std::vector<Result> Own;
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
      Own.push_back(runOwn(Fleet, Kinds.front(), 1000 + Seed));
    printRow(Fleet, "comparison", Kinds.front(), Own);
  }
}

double secondsUntilEnd(PlanWorld &World, const std::string &Id) {
  const auto Begin = Clock::now();
  while (!isEnded(World.plan(Id).State) && Clock::now() - Begin < 3600s)
    World.advance(100ms);
  return std::chrono::duration<double>(Clock::now() - Begin).count();
}

void measureShift(const Deployment &Fleet, std::uint32_t Steps,
                  std::chrono::seconds Deadline, bool Silent) {
  PlanWorld World(12);
  World.Fleet.AdoptionDelay = Fleet.AdoptionDelay;
  World.hold(World.One);
  if (Silent)
    World.Fleet.Silent = {"i7"};
  const std::string Id = World.start(
      MoveTraffic{"w1", "a", "b", 0.5, 0.5, Steps, World.wallIn(Deadline),
                  DeadlineAction::TakeBack, 0.1});
  const double Up = secondsUntilEnd(World, Id);
  std::printf("%-2s shift of 50%% in %u steps, deadline %lld s%s: %.1f s\n",
              Fleet.Name, Steps, static_cast<long long>(Deadline.count()),
              Silent ? ", one instance silent" : "", Up);
}

void measureTakeBack(const Deployment &Fleet) {
  PlanWorld World(12);
  World.Fleet.AdoptionDelay = Fleet.AdoptionDelay;
  World.hold(World.One);
  const std::string Id =
      World.start(MoveTraffic{"w1", "a", "b", 0.5, 0.5, 5, World.wallIn(600s),
                              DeadlineAction::TakeBack, 0.1});
  while (World.plan(Id).StepsDone < 5)
    World.advance(100ms);
  World.ask([&] { return World.Two.Plans.takeBack(Id, "ann", "measured"); });
  std::printf("%-2s take-back from 50%% in steps of 10%%: %.1f s\n", Fleet.Name,
              secondsUntilEnd(World, Id));
}

/// The server's requests end one after the other, \p EmptyAfter after the last
/// instance has stopped sending.
void measureDrain(const Deployment &Fleet, Clock::duration EmptyAfter) {
  PlanWorld World(12);
  World.Fleet.AdoptionDelay = Fleet.AdoptionDelay;
  World.hold(World.One);
  World.Fleet.Running["s1"] = 3;
  std::optional<Clock::time_point> LastSent;
  World.OnTick = [&] {
    const auto &Names = World.Names;
    const bool Sending =
        std::any_of(Names.begin(), Names.end(), [&](const auto &Name) {
          return !findServer(World.Fleet.adopted(Name), "s1")->Draining;
        });
    if (Sending)
      LastSent = Clock::now();
    if (Clock::now() - *LastSent >= EmptyAfter)
      World.Fleet.Running["s1"] = 0;
  };
  World.advance(1s);
  const auto Begin = Clock::now();
  const std::string Id = World.start(DrainServer{"s1", false, 300s});
  secondsUntilEnd(World, Id);
  const auto Seconds = [&](Clock::time_point Time) {
    return std::chrono::duration<double>(Time - Begin).count();
  };
  std::printf("%-2s drain, requests of %.1f s: last new work %.1f s, reported "
              "empty %.1f s after the proposal\n",
              Fleet.Name, std::chrono::duration<double>(EmptyAfter).count(),
              Seconds(*LastSent), Seconds(Clock::now()));
}

} // namespace

int runRolloutBench(const std::vector<std::string> &Arguments) {
  const std::uint64_t Seeds =
      Arguments.empty() ? 40 : std::strtoull(Arguments[0].c_str(), nullptr, 10);
  const std::string Only = Arguments.size() < 2 ? "" : Arguments[1];
  if (Seeds == 0 || chosen(Only).empty()) {
    std::fprintf(stderr, "usage: rollout-bench [SEEDS [A|B]]\n");
    return 2;
  }
  for (const Deployment &Fleet : chosen(Only)) {
    measureShift(Fleet, 5, 600s, false);
    measureShift(Fleet, 10, 600s, false);
    measureShift(Fleet, 5, 30s, false);
    measureShift(Fleet, 5, 600s, true);
    measureTakeBack(Fleet);
    measureDrain(Fleet, 100ms);
    measureDrain(Fleet, 5s);
  }
  measureRollouts(Seeds, Only);
  measureGoodVersions(5 * Seeds, Only);
  return 0;
}

} // namespace rr
