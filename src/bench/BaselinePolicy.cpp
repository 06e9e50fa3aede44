#include "bench/BaselinePolicy.h"

#include <algorithm>

namespace rr {

namespace {

using namespace std::chrono_literals;

constexpr double SpillLoad = 0.9;
constexpr Clock::duration LeastLag = 300ms;
constexpr std::uint64_t LagRangeMs = 1000;

} // namespace

BaselinePolicy::BaselinePolicy(RoutingSimulation &Simulation, Kind Choice)
    : Simulation(Simulation), Choice(Choice) {
  const RoutingScenario &Scenario = Simulation.scenario();
  const std::size_t Services = Scenario.Services.size();
  this->Groups.resize(Scenario.Regions.size() * Services);
  for (std::size_t I = 0; I < Simulation.servers().size(); ++I) {
    const SimServer &Server = Simulation.servers()[I];
    this->Groups[Server.Region * Services + Server.Service].push_back(I);
  }
  this->Views.assign(Scenario.Instances.size(),
                     {std::vector<double>(Simulation.servers().size()),
                      std::vector<std::size_t>(this->Groups.size())});
}

RoutingPolicy BaselinePolicy::functions() {
  return {[this](const SimRequestPtr &Request) { this->arrive(Request); },
          [this] { this->report(); }, [] {}};
}

void BaselinePolicy::report() {
  for (std::size_t I = 0; I < this->Simulation.servers().size(); ++I) {
    const double Load = this->Simulation.servers()[I].reportedLoad();
    for (View &Seen : this->Views) {
      const std::chrono::milliseconds Extra(this->Simulation.random()() %
                                            LagRangeMs);
      this->Simulation.after(LeastLag + Extra,
                             [&Seen, I, Load] { Seen.ReportedLoad[I] = Load; });
    }
  }
}

std::size_t BaselinePolicy::chooseRegion(const SimRequest &Request) const {
  const RoutingScenario &Scenario = this->Simulation.scenario();
  const auto MeanLoad = [&](std::size_t Region) {
    const auto &Group =
        this->Groups[Region * Scenario.Services.size() + Request.Service];
    double Sum = 0;
    for (const std::size_t Server : Group)
      Sum += this->Views[Request.Entry].ReportedLoad[Server];
    return Sum / static_cast<double>(Group.size());
  };
  if (MeanLoad(Request.Region) < SpillLoad)
    return Request.Region;
  std::size_t Best = Request.Region;
  for (std::size_t Region = 0; Region < Scenario.Regions.size(); ++Region)
    if (MeanLoad(Region) < MeanLoad(Best))
      Best = Region;
  return Best;
}

std::size_t BaselinePolicy::chooseServer(View &Seen, std::size_t Region,
                                         std::size_t Service) {
  const std::size_t Place =
      Region * this->Simulation.scenario().Services.size() + Service;
  const std::vector<std::size_t> &Group = this->Groups[Place];
  if (this->Choice == Kind::RoundRobin)
    return Group[Seen.Next[Place]++ % Group.size()];
  if (this->Choice == Kind::Random)
    return Group[this->Simulation.random()() % Group.size()];
  return *std::ranges::min_element(
      Group, {}, [&](std::size_t Server) { return Seen.ReportedLoad[Server]; });
}

void BaselinePolicy::arrive(const SimRequestPtr &Request) {
  RoutingSimulation &Sim = this->Simulation;
  const std::size_t Region = this->chooseRegion(*Request);
  const std::size_t Server =
      this->chooseServer(this->Views[Request->Entry], Region, Request->Service);
  const std::size_t Entry = Sim.zoneOfInstance(Request->Entry);
  const std::size_t Zone = Sim.servers()[Server].Zone;
  const Clock::duration Way = Sim.latency(Entry, Zone);
  Sim.after(Way, [this, Request, Region, Server, Way] {
    RoutingSimulation &Sim = this->Simulation;
    const double Bytes = Sim.scenario().Services[Request->Service].Bytes;
    if (Region != Request->Region)
      Sim.countSpill(Region, Request->Service);
    Sim.startOnServer(
        Server, *Request, [&Sim, Request, Region, Way, Bytes](auto Outcome) {
          Sim.countTransfer(Region, Request->Region, Bytes);
          Sim.after(Way, [&Sim, Request, Outcome] {
            using End = RoutingMetrics::End;
            Sim.end(*Request, Outcome == RequestOutcome::Success ? End::Answered
                              : Outcome == RequestOutcome::Failure
                                  ? End::Failed
                                  : End::Refused);
          });
        });
  });
}

} // namespace rr
