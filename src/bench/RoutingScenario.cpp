#include "bench/RoutingScenario.h"

namespace rr {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t Zones = 6;

void addPlaces(RoutingScenario &Scenario, std::uint64_t BitsPerSecond) {
  Scenario.LinkBytesPerSecond = static_cast<double>(BitsPerSecond) / 8;
  Scenario.Regions = {"r0", "r1", "r2"};
  for (std::size_t I = 0; I < Zones; ++I) {
    const std::string Zone = "z" + std::to_string(I);
    const std::string Region = Scenario.Regions[I / 2];
    Scenario.Config.Zones.push_back({Zone, Region});
    for (const char *Letter : {"a", "b"})
      Scenario.Instances.push_back(
          {"i" + std::to_string(I) + Letter, Zone, Region});
  }
  for (const std::string &From : Scenario.Regions)
    for (const std::string &To : Scenario.Regions)
      if (From != To)
        Scenario.Config.Links.push_back(
            {From, To, BitsPerSecond, Scenario.RegionLatency});
}

// Spreads the servers over the zones in turn; slots differ by server.
void addServers(RoutingScenario &Scenario, const std::string &Service,
                std::size_t Count, std::uint32_t LeastSlots,
                std::uint32_t MostSlots) {
  for (std::size_t I = 0; I < Count; ++I) {
    const std::uint32_t Range = MostSlots - LeastSlots + 1;
    const std::uint32_t Slots =
        LeastSlots + static_cast<std::uint32_t>(I * 5 % Range);
    Scenario.Config.Servers.push_back({Service + std::to_string(I), Service,
                                       "1", "z" + std::to_string(I % Zones), "",
                                       Slots, 400, false});
  }
}

} // namespace

RoutingScenario deploymentA() {
  RoutingScenario Result;
  Result.Name = "deployment A";
  Result.RegionLatency = 35ms;
  Result.ClientLatency = 8ms;
  addPlaces(Result, 4000000000);
  Result.Services = {{"stock", 20ms, 4000},
                     {"ordering", 40ms, 8000},
                     {"artwork", 60ms, 200000}};
  addServers(Result, "stock", 20, 3, 9);
  addServers(Result, "ordering", 14, 3, 9);
  addServers(Result, "artwork", 12, 3, 9);
  // Zones 2 and 4: one region each that does not double.
  Result.SlowServer = "stock2";
  Result.FailingServer = "stock4";
  Result.LyingServer = "stock8";
  return Result;
}

RoutingScenario deploymentB() {
  RoutingScenario Result;
  Result.Name = "deployment B";
  Result.RegionLatency = 12ms;
  Result.ClientLatency = 1ms;
  addPlaces(Result, 280000000);
  Result.Services = {{"stock", 20ms, 4000},
                     {"ordering", 40ms, 8000},
                     {"manifests", 60ms, 100000}};
  addServers(Result, "stock", 24, 3, 3);
  addServers(Result, "ordering", 12, 3, 3);
  addServers(Result, "manifests", 12, 3, 3);
  Result.SlowServer = "stock2";
  Result.FailingServer = "stock4";
  Result.LyingServer = "stock8";
  return Result;
}

} // namespace rr
