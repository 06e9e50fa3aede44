#include "bench/LimitsBench.h"

#include "bench/FairQueueBench.h"
#include "bench/LimitsPolicies.h"
#include "bench/LimitsWorkload.h"

#include <charconv>
#include <cstdio>

namespace rr {

namespace {

using namespace std::chrono_literals;

bool readNumber(const std::string &Text, int &Result) {
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Result);
  return Error == std::errc() && End == Text.data() + Text.size() && Result > 0;
}

bool readArguments(const std::vector<std::string> &Arguments,
                   LimitsScenario &Scenario) {
  for (std::size_t I = 0; I + 1 < Arguments.size(); I += 2) {
    int Value = 0;
    if (!readNumber(Arguments[I + 1], Value))
      return false;
    if (Arguments[I] == "--seed")
      Scenario.Seed = std::uint64_t(Value);
    else if (Arguments[I] == "--seconds" && Value >= 45)
      Scenario.Length = std::chrono::seconds(Value);
    else if (Arguments[I] == "--between-ms")
      Scenario.BetweenRegions = std::chrono::milliseconds(Value);
    else
      return false;
  }
  return Arguments.size() % 2 == 0;
}

void printHead(const char *Title) {
  std::printf("\n%s\n  %-22s %8s %8s %8s %8s  %13s %6s %8s %8s %7s %7s\n",
              Title, "", "requests", "refused", "wrongful", "missing", "worst",
              "over", "unserved", "msg/s", "p50 ms", "p99 ms");
}

std::uint64_t compare(const char *Title, const LimitsScenario &Scenario) {
  printHead(Title);
  const std::uint64_t Over = runShares(Scenario, false);
  runEqualShares(Scenario);
  runCentralCounter(Scenario);
  return Over;
}

std::uint64_t runWorstCases(const LimitsScenario &Base) {
  LimitsScenario Cut = Base;
  Cut.CutAt = 15s;
  Cut.CutTime = 15s;
  std::uint64_t Over =
      compare("One region of three cut off from 15 s to 30 s", Cut);
  printHead("The same by second");
  Over += runShares(Cut, true);
  LimitsScenario Kill = Base;
  Kill.KillAt = 15s;
  Kill.RestartTime = 3s;
  Over += compare("Instance 5 ends at 15 s and is back at 18 s", Kill);
  printHead("The same by second");
  return Over + runShares(Kill, true);
}

} // namespace

int runLimitsBench(const std::vector<std::string> &Arguments) {
  LimitsScenario Scenario;
  if (!readArguments(Arguments, Scenario)) {
    std::fprintf(stderr, "usage: limits [--seed N] [--seconds N (at least 45)] "
                         "[--between-ms N]\n");
    return 1;
  }
  Clock::pause();
  std::printf("seed %llu, %lld s simulated, %lld ms between regions; refused, "
              "wrongful, missing and worst in %% of requests\n",
              static_cast<unsigned long long>(Scenario.Seed),
              static_cast<long long>(Scenario.Length.count()),
              static_cast<long long>(Scenario.BetweenRegions.count()));
  LimitsScenario Steady = Scenario;
  Steady.Moving = false;
  std::uint64_t Over = compare("Skewed demand, 80% of the rate", Steady);
  Over += compare("Skewed demand that moves every 3 to 8 s, 80%", Scenario);
  LimitsScenario Full = Scenario;
  Full.Load = 0.95;
  Over += compare("Skewed demand that moves every 3 to 8 s, 95%", Full);
  LimitsScenario Loud = Scenario;
  Loud.Loud = 2;
  Over += compare("The same at 80%, and w2 at ten times its rate", Loud);
  Over += runWorstCases(Scenario);
  runFollowing(Scenario);
  runFairQueueBench(Scenario.Seed);
  std::printf("\nover-admitted by conserved shares: %llu\n",
              static_cast<unsigned long long>(Over));
  return Over == 0 ? 0 : 1;
}

} // namespace rr
