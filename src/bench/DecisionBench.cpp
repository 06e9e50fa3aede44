#include "bench/Stopwatch.h"
#include "model/FleetConfig.h"
#include "routing/OwnerTable.h"
#include "routing/Router.h"

#include <algorithm>
#include <cstdio>
#include <deque>

namespace rr {

namespace {

constexpr std::uint64_t Seed = 1;
constexpr int Decisions = 300000;
constexpr int ServersPerSite = 4;
constexpr int Services = 3;

/// A fleet with several servers of each service at each site.
struct Fleet {
  FleetConfig Config;
  std::vector<OwnerMember> Members;
};

Fleet makeFleet(int Sites, int Regions, int Zones, int Instances) {
  Fleet Result;
  FleetConfig &Config = Result.Config;
  for (int I = 0; I < Zones; ++I)
    Config.Zones.push_back(
        {"z" + std::to_string(I), "r" + std::to_string(I % Regions)});
  for (int I = 1; I < Regions; ++I)
    Config.Links.push_back({"r0", "r" + std::to_string(I), 4000000000,
                            std::chrono::milliseconds(10 + I)});
  for (int Site = 0; Site < Sites; ++Site)
    for (int I = 0; I < ServersPerSite * Services; ++I)
      Config.Servers.push_back(
          {"s" + std::to_string(Site) + "-" + std::to_string(I),
           "service" + std::to_string(I % Services), "1",
           Config.Zones[Site % Zones].Name, "", 3, 400, false});
  for (int I = 0; I < Services; ++I)
    Config.Splits.push_back(
        {"service" + std::to_string(I), "1", "2", 0.05, ""});
  for (int I = 0; I < Instances; ++I) {
    const Zone &Home = Config.Zones[I % Zones];
    Result.Members.push_back({"i" + std::to_string(I), Home.Name, Home.Region});
  }
  return Result;
}

// Time of one decision while about the given number of requests runs.
double measure(Router &Routes, std::size_t Running, bool WithCredit,
               const char *Label, int Sites, std::size_t Servers) {
  RandomEngine Random(Seed);
  std::deque<RouteDecision> Held;
  RouteRequest Request{"w", "service0", {},    1000,  {},
                       50,  true,       false, false, false};
  Clock::time_point Now = Clock::now();
  std::size_t Kinds[5] = {};
  double Seconds = 0;
  for (int I = 0; I < Decisions; ++I) {
    Now += std::chrono::microseconds(100);
    Request.Deadline = Now + std::chrono::seconds(1);
    if (WithCredit && I % 10000 == 0)
      for (int Region = 1; Region < 8; ++Region)
        Routes.credits().apply({"r" + std::to_string(Region), "relay", "z0",
                                "service0", 1000, 1e9},
                               Now, Now);
    const Stopwatch Watch;
    RouteDecision Decision = Routes.decide(Request, Random, Now);
    Seconds += Watch.elapsed().count();
    ++Kinds[static_cast<int>(Decision.Where)];
    if (Decision.Slot || Decision.Peer)
      Held.push_back(std::move(Decision));
    if (Held.size() > Running) {
      if (Held.front().Slot)
        Held.front().Slot.finish(RequestOutcome::Success, Now);
      Held.pop_front();
    }
  }
  const double Nanoseconds = Seconds * 1e9 / Decisions;
  std::printf("%5d %8zu  %-22s %7.0f   %zu/%zu/%zu/%zu/%zu\n", Sites, Servers,
              Label, Nanoseconds, Kinds[0], Kinds[1], Kinds[2], Kinds[3],
              Kinds[4]);
  return Nanoseconds;
}

double measureFleet(int Sites, int Regions, int Zones, int Instances) {
  const Fleet Built = makeFleet(Sites, Regions, Zones, Instances);
  double Worst = 0;
  struct Case {
    const char *Label;
    std::size_t Running;
    bool WithCredit;
  };
  for (const Case &Item :
       {Case{"few requests run", 1, false}, Case{"60 requests run", 60, false},
        Case{"region full", 1000000, false},
        Case{"region full, credit", 1000000, true}}) {
    OwnerTable Owners("i0");
    Owners.update(Built.Config, Built.Members, true, Clock::time_point{});
    Router Routes("i0", "z0", "r0");
    Routes.configure(Built.Config, Owners,
                     static_cast<std::uint32_t>(Instances / Regions), true,
                     Clock::now());
    Worst = std::max(Worst,
                     measure(Routes, Item.Running, Item.WithCredit, Item.Label,
                             Sites, Built.Config.Servers.size()));
  }
  return Worst;
}

} // namespace

int runDecisionBench(const std::vector<std::string> &) {
  std::puts("sites  servers  state                  ns each   "
            "local/forward/spill/queue/refuse");
  double Worst = 0;
  for (const int Sites : {26, 130, 260}) {
    std::printf("8 regions, 27 zones, %d instances\n", 5 * Sites);
    Worst = std::max(Worst, measureFleet(Sites, 8, 27, 5 * Sites));
  }
  std::puts("all 260 sites in one region and zone, 12 instances");
  Worst = std::max(Worst, measureFleet(260, 1, 1, 12));
  std::printf("worst: %.0f ns\n", Worst);
  return 0;
}

} // namespace rr
