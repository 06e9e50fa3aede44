#include "bench/QuotaBench.h"

#include "steering/QuotaSimulation.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace rr {

namespace {

struct FleetSize {
  std::size_t Instances;
  std::size_t Workspaces;
  double TotalRate;
};

struct LoadShape {
  const char *Name;
  double Demand;
  bool Bursty;
};

constexpr FleetSize Sizes[] = {{9, 8, 480},     {12, 8, 950},
                               {63, 74, 3200},  {84, 84, 3200},
                               {27, 190, 4300}, {295, 190, 4300}};
constexpr LoadShape Loads[] = {{"half of the rate", 0.5, false},
                               {"half, in bursts", 0.5, true},
                               {"at the rate", 1.0, false},
                               {"three times the rate", 3.0, false}};

const char *nameOf(QuotaSimulationLoad::Policy Holding) {
  switch (Holding) {
  case QuotaSimulationLoad::Policy::PerInstance:
    return "own parts";
  case QuotaSimulationLoad::Policy::RegionHolders:
    return "holders";
  case QuotaSimulationLoad::Policy::Central:
    return "central";
  }
  return "";
}

void printRow(const QuotaSimulationLoad &Load, const LoadShape &Shape,
              double Seconds) {
  QuotaSimulation Fleet(Load);
  Fleet.run(std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(Seconds)));
  const QuotaSimulationResult &Tally = Fleet.result();
  std::printf(
      "%9zu %10zu  %-20s %-10s %9llu %9.2f%% %7.2f%% %7.2f %7.1f%% %9.0f\n",
      Load.Instances, Load.Workspaces, Shape.Name, nameOf(Load.SharingPolicy),
      static_cast<unsigned long long>(Tally.Offered),
      100.0 * double(Tally.WrongfulRefusals) / double(Tally.IdealAdmitted),
      100.0 * std::max(0.0, 1 - double(Tally.Admitted) /
                                    double(Tally.IdealAdmitted)),
      Tally.WorstWindow,
      100.0 * double(Tally.RemoteRequests) / double(Tally.Offered),
      double(Tally.Messages) / Seconds);
}

} // namespace

int runQuotaBench(const std::vector<std::string> &Arguments) {
  unsigned Seed = 1;
  double Seconds = 40;
  for (std::size_t Index = 0; Index + 1 < Arguments.size(); Index += 2) {
    const double Value = std::atof(Arguments[Index + 1].c_str());
    if (Arguments[Index] == "--seed")
      Seed = unsigned(Value);
    else if (Arguments[Index] == "--seconds")
      Seconds = Value;
  }
  std::printf("%9s %10s  %-20s %-10s %9s %10s %8s %7s %8s %9s\n", "instances",
              "workspaces", "demand", "policy", "requests", "wrongful",
              "missing", "window", "asked", "messages/s");
  for (const FleetSize &Size : Sizes)
    for (const LoadShape &Shape : Loads)
      for (const auto Holding : {QuotaSimulationLoad::Policy::PerInstance,
                                 QuotaSimulationLoad::Policy::RegionHolders,
                                 QuotaSimulationLoad::Policy::Central}) {
        QuotaSimulationLoad Load;
        Load.Seed = Seed;
        Load.SharingPolicy = Holding;
        Load.Instances = Size.Instances;
        Load.Workspaces = Size.Workspaces;
        Load.TotalRate = Size.TotalRate;
        Load.DemandRatio = Shape.Demand;
        Load.Bursty = Shape.Bursty;
        printRow(Load, Shape, Seconds);
      }
  return 0;
}

} // namespace rr
