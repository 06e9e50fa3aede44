#include "bench/BaselinePolicy.h"
#include "bench/ChosenPolicy.h"

#include <cstdio>

namespace rr {

namespace {

void compare(const RoutingScenario &Scenario, std::uint64_t Seed) {
  std::printf("%s, seed %llu: slow server %s, failing server %s, false reports "
              "from %s, load of region r0 doubled after %lld s of %lld s\n",
              Scenario.Name.c_str(), static_cast<unsigned long long>(Seed),
              Scenario.SlowServer.c_str(), Scenario.FailingServer.c_str(),
              Scenario.LyingServer.c_str(),
              static_cast<long long>(Scenario.DoubledFrom.count()),
              static_cast<long long>(Scenario.End.count()));
  printMetricsHeader();
  {
    RoutingSimulation Simulation(Scenario, Seed);
    ChosenPolicy Policy(Simulation);
    printMetrics("chosen", Simulation.run(Policy.functions()));
  }
  using Kind = BaselinePolicy::Kind;
  struct Item {
    const char *Name;
    Kind Choice;
  };
  for (const Item &Other :
       {Item{"random", Kind::Random}, Item{"round-robin", Kind::RoundRobin},
        Item{"least-reported", Kind::LeastReported}}) {
    RoutingSimulation Simulation(Scenario, Seed);
    BaselinePolicy Policy(Simulation, Other.Choice);
    printMetrics(Other.Name, Simulation.run(Policy.functions()));
  }
}

} // namespace

int runRoutingBench(const std::vector<std::string> &Arguments) {
  const std::uint64_t Seed =
      Arguments.empty() ? 1 : std::stoull(Arguments.front());
  Clock::pause();
  for (const RoutingScenario &Scenario : {deploymentA(), deploymentB()})
    compare(Scenario, Seed);
  Clock::resume();
  return 0;
}

} // namespace rr
