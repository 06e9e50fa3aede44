#include "bench/ChosenPolicy.h"

#include <algorithm>

namespace rr {

namespace {

using namespace std::chrono_literals;
using Kind = RouteDecision::Kind;

constexpr std::size_t MaxQueue = 500;
// Attempts at owners before a request waits for the next timer.
constexpr int MaxRefusals = 2;
constexpr std::size_t GrantersPerRegion = 4;
constexpr std::size_t InstancesPerZone = 2;
constexpr std::size_t InstancesPerRegion = 4;
constexpr Clock::duration ReportLag = 500ms;
// A zone asks for somewhat more than its overflow, because demand varies.
constexpr double AskFactor = 1.25;

} // namespace

ChosenPolicy::ChosenPolicy(RoutingSimulation &Simulation)
    : Simulation(Simulation) {
  const RoutingScenario &Scenario = Simulation.scenario();
  for (std::size_t I = 0; I < Simulation.servers().size(); ++I)
    this->ServerNumbers[Simulation.servers()[I].Name] = I;
  for (const OwnerMember &Member : Scenario.Instances) {
    this->InstanceNumbers[Member.Name] = this->Nodes.size();
    Node &Added = this->Nodes.emplace_back(Member);
    Added.Owners.update(Scenario.Config, Scenario.Instances, true,
                        Clock::now() - OwnerHandOverWait);
    Added.Routes.configure(Scenario.Config, Added.Owners, InstancesPerRegion,
                           true, Clock::now());
    Added.Queues.resize(Scenario.Services.size());
    Added.SpilledIn.resize(Scenario.Services.size());
  }
  for (const std::string &Region : Scenario.Regions) {
    auto &Relays = this->Grantors.emplace_back();
    for (std::size_t I = 0; I < GrantersPerRegion; ++I) {
      Relays.emplace_back(Region, Region + std::to_string(I),
                          GrantersPerRegion);
      for (const std::string &From : Scenario.Regions)
        if (From != Region)
          Relays.back().setLink(From, Scenario.LinkBytesPerSecond);
    }
  }
}

RoutingPolicy ChosenPolicy::functions() {
  return {[this](const SimRequestPtr &Request) {
            this->dispatch(Request->Entry, Request);
          },
          [this] { this->report(); },
          [this] {
            for (std::size_t I = 0; I < this->Nodes.size(); ++I)
              this->drainQueues(I);
          }};
}

RouteRequest ChosenPolicy::describe(std::size_t At,
                                    const SimRequest &Request) const {
  const RoutingScenario &Scenario = this->Simulation.scenario();
  RouteRequest Result;
  Result.Workspace = "w";
  Result.Service = Scenario.Services[Request.Service].Name;
  Result.Bytes = Scenario.Services[Request.Service].Bytes;
  Result.Deadline = Request.Deadline;
  Result.Queued = static_cast<std::uint32_t>(
      this->Nodes[At].Queues[Request.Service].size());
  Result.MayRetry = Request.MayRetry;
  Result.Again = Request.Again;
  Result.OverflowNoted = Request.OverflowNoted;
  Result.Spilled = Request.Spilled;
  return Result;
}

void ChosenPolicy::dispatch(std::size_t At, const SimRequestPtr &Request) {
  Node &Here = this->Nodes[At];
  RouteDecision Decision = Here.Routes.decide(
      this->describe(At, *Request), this->Simulation.random(), Clock::now());
  Request->OverflowNoted = Request->OverflowNoted || Decision.Overflowed;
  switch (Decision.Where) {
  case Kind::Local:
    this->runLocal(At, Request, std::move(Decision.Slot),
                   [this, At, Request](RequestOutcome Outcome, bool Refused) {
                     this->finish(At, Request, Outcome, Refused);
                   });
    return;
  case Kind::Forward:
    this->forward(At, Request, std::move(Decision.Peer));
    return;
  case Kind::Spill:
    this->spill(At, Request, Decision.Region);
    return;
  case Kind::Queue:
    if (Here.Queues[Request->Service].size() < MaxQueue) {
      Request->Again = true;
      Here.Queues[Request->Service].push_back(Request);
      return;
    }
    break;
  case Kind::Refuse:
    break;
  }
  this->finish(At, Request, RequestOutcome::Abandoned, false);
}

void ChosenPolicy::runLocal(std::size_t At, const SimRequestPtr &Request,
                            SlotLease Slot, Reply Done) {
  RoutingSimulation &Sim = this->Simulation;
  const std::size_t Server = this->ServerNumbers.at(Slot.server().Config.Name);
  const Clock::duration Way =
      Sim.latency(Sim.zoneOfInstance(At), Sim.servers()[Server].Zone);
  const auto Held = std::make_shared<SlotLease>(std::move(Slot));
  Sim.after(Way, [this, At, Request, Server, Way, Held, Done] {
    this->Simulation.startOnServer(
        Server, *Request,
        [this, At, Request, Way, Held, Done](RequestOutcome Outcome) {
          this->Simulation.after(Way, [this, At, Request, Held, Done, Outcome] {
            Held->finish(Outcome, Clock::now());
            Done(Outcome, false);
            this->drainQueues(At);
          });
        });
  });
}

void ChosenPolicy::forward(std::size_t At, const SimRequestPtr &Request,
                           ForwardLease Peer) {
  RoutingSimulation &Sim = this->Simulation;
  const std::size_t Owner = this->InstanceNumbers.at(Peer.instance());
  const Clock::duration Way = Sim.scenario().ZoneLatency;
  const auto Held = std::make_shared<ForwardLease>(std::move(Peer));
  const Reply Back = [this, At, Request, Way, Held](RequestOutcome Outcome,
                                                    bool Refused) {
    this->Simulation.after(Way, [this, At, Request, Held, Outcome, Refused] {
      if (Refused)
        Held->noteRefusal(Clock::now());
      *Held = ForwardLease();
      this->finish(At, Request, Outcome, Refused);
    });
  };
  Sim.after(Way, [this, Owner, Request, Back] {
    RouteRequest Wanted = this->describe(Owner, *Request);
    Wanted.Version = "1";
    Wanted.Forwarded = true;
    RouteDecision Decision = this->Nodes[Owner].Routes.decide(
        Wanted, this->Simulation.random(), Clock::now());
    if (Decision.Where == Kind::Local)
      this->runLocal(Owner, Request, std::move(Decision.Slot), Back);
    else
      Back(RequestOutcome::Abandoned, true);
  });
}

void ChosenPolicy::spill(std::size_t At, const SimRequestPtr &Request,
                         const std::string &Region) {
  RoutingSimulation &Sim = this->Simulation;
  const std::size_t To = static_cast<std::size_t>(
      std::ranges::find(Sim.scenario().Regions, Region) -
      Sim.scenario().Regions.begin());
  const std::size_t Target =
      To * InstancesPerRegion + Sim.random()() % InstancesPerRegion;
  Request->Spilled = true;
  Request->Again = false;
  Sim.after(Sim.scenario().RegionLatency, [this, To, Target, Request] {
    this->Simulation.countSpill(To, Request->Service);
    ++this->Nodes[Target].SpilledIn[Request->Service];
    this->dispatch(Target, Request);
  });
}

void ChosenPolicy::finish(std::size_t At, const SimRequestPtr &Request,
                          RequestOutcome Outcome, bool Refused) {
  RoutingSimulation &Sim = this->Simulation;
  using End = RoutingMetrics::End;
  // An owner that had no slot did not run the request.
  auto &Queue = this->Nodes[At].Queues[Request->Service];
  if (Refused && Clock::now() < Request->Deadline) {
    Request->Again = true;
    if (Request->Refusals++ < MaxRefusals) {
      this->dispatch(At, Request);
      return;
    }
    if (Queue.size() < MaxQueue) {
      Request->Refusals = 0;
      Queue.push_back(Request);
      return;
    }
  }
  const End How = Outcome == RequestOutcome::Success   ? End::Answered
                  : Outcome == RequestOutcome::Failure ? End::Failed
                                                       : End::Refused;
  if (!Request->Spilled) {
    Sim.end(*Request, How);
    return;
  }
  const std::size_t Region = Sim.regionOfZone(Sim.zoneOfInstance(At));
  Sim.countTransfer(Region, Request->Region,
                    Sim.scenario().Services[Request->Service].Bytes);
  Sim.after(Sim.scenario().RegionLatency,
            [&Sim, Request, How] { Sim.end(*Request, How); });
}

void ChosenPolicy::drainQueues(std::size_t At) {
  for (auto &Queue : this->Nodes[At].Queues) {
    // Stops at the first request that is queued again.
    for (std::size_t Left = Queue.size(); Left > 0; --Left) {
      const SimRequestPtr Request = Queue.front();
      Queue.pop_front();
      const std::size_t Before = Queue.size();
      this->dispatch(At, Request);
      if (Queue.size() > Before) {
        Queue.pop_back();
        Queue.push_front(Request);
        break;
      }
    }
  }
}

void ChosenPolicy::report() {
  this->reportServers();
  this->reportPeers();
  this->exchangeCredits();
}

void ChosenPolicy::reportServers() {
  for (const SimServer &Server : this->Simulation.servers()) {
    const double Load = Server.reportedLoad();
    this->Simulation.after(ReportLag, [this, &Server, Load] {
      for (Node &Item : this->Nodes) {
        const ServerPtr Known = Item.Routes.servers().find(Server.Name);
        if (Known && Known->Owned)
          Item.Routes.servers().reportLoad(Server.Name, Load, Clock::now());
      }
    });
  }
}

void ChosenPolicy::reportPeers() {
  const RoutingScenario &Scenario = this->Simulation.scenario();
  for (std::size_t From = 0; From < this->Nodes.size(); ++From) {
    const auto Headrooms =
        this->Nodes[From].Routes.servers().headroom(Clock::now());
    this->Simulation.after(ReportLag, [this, &Scenario, From, Headrooms] {
      for (Node &Item : this->Nodes)
        for (const ServiceHeadroom &Headroom : Headrooms)
          Item.Routes.peers().report(Scenario.Instances[From].Name, Headroom,
                                     ReportLag, Clock::now());
    });
  }
  for (const BackendServer &Server : Scenario.Config.Servers)
    for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
      // The other instance of the zone has the other servers.
      const std::size_t Other = I ^ 1;
      if (Scenario.Instances[I].Zone == Server.Zone)
        this->Nodes[I].Routes.servers().setEjectedElsewhere(
            Server.Service, Server.Zone,
            this->Nodes[Other].Routes.servers().ejectedHere(Server.Service,
                                                            Server.Zone));
    }
}

std::vector<SpillAsk>
ChosenPolicy::collectAsks(std::vector<std::vector<double>> &Demands) {
  const RoutingScenario &Scenario = this->Simulation.scenario();
  std::map<std::pair<std::string, std::string>, SpillAsk> Asks;
  std::map<std::pair<std::string, std::string>, std::vector<double>> Parts;
  for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
    const OwnerMember &Member = Scenario.Instances[I];
    for (const Overflow &Item : this->Nodes[I].Routes.takeOverflow()) {
      const auto Key = std::make_pair(Member.Zone, Item.Service);
      SpillAsk &Ask = Asks[Key];
      const double Requests = AskFactor * static_cast<double>(Item.Requests);
      Ask.Zone = Member.Zone;
      Ask.Region = Member.Region;
      Ask.Service = Item.Service;
      Ask.RequestsPerSecond += Requests;
      Ask.BytesPerSecond += AskFactor * Item.Bytes;
      Parts[Key].resize(InstancesPerZone);
      Parts[Key][I % InstancesPerZone] = Requests;
    }
  }
  std::vector<SpillAsk> Result;
  for (const auto &Item : Asks) {
    Result.push_back(Item.second);
    Demands.push_back(Parts[Item.first]);
  }
  return Result;
}

std::vector<SpillSupply>
ChosenPolicy::collectSupplies(std::size_t Region) const {
  std::vector<SpillSupply> Result;
  const auto &Services = this->Simulation.scenario().Services;
  for (std::size_t I = 0; I < Services.size(); ++I) {
    SpillSupply Supply{Services[I].Name, 0, 0, ReportLag};
    for (std::size_t N = 0; N < InstancesPerRegion; ++N) {
      const Node &Item = this->Nodes[Region * InstancesPerRegion + N];
      Supply.SpilledPerSecond += static_cast<double>(Item.SpilledIn[I]);
      for (const ServiceHeadroom &Headroom :
           const_cast<Node &>(Item).Routes.servers().headroom(Clock::now()))
        if (Headroom.Service == Supply.Service)
          Supply.FreePerSecond += Headroom.requestsPerSecond();
    }
    Result.push_back(std::move(Supply));
  }
  return Result;
}

void ChosenPolicy::exchangeCredits() {
  const RoutingScenario &Scenario = this->Simulation.scenario();
  const Clock::time_point AskedAt = Clock::now();
  std::vector<std::vector<double>> Demands;
  const std::vector<SpillAsk> Asks = this->collectAsks(Demands);
  for (std::size_t To = 0; To < Scenario.Regions.size(); ++To) {
    const auto Supplies = this->collectSupplies(To);
    std::vector<SpillAsk> Others;
    for (const SpillAsk &Ask : Asks)
      if (Ask.Region != Scenario.Regions[To])
        Others.push_back(Ask);
    // Each relay of the region is asked for its part.
    for (SpillAsk &Ask : Others) {
      Ask.RequestsPerSecond /= GrantersPerRegion;
      Ask.BytesPerSecond /= GrantersPerRegion;
    }
    for (SpillGrantor &Relay : this->Grantors[To])
      for (const SpillGrant &Grant : Relay.grant(Others, Supplies, AskedAt)) {
        std::size_t Ask = 0;
        while (Asks[Ask].Zone != Grant.Zone ||
               Asks[Ask].Service != Grant.Service)
          ++Ask;
        const auto Parts = SpillCredits::divide(Grant, Demands[Ask]);
        const std::size_t First =
            static_cast<std::size_t>(Grant.Zone[1] - '0') * InstancesPerZone;
        this->Simulation.after(
            2 * Scenario.RegionLatency, [this, Parts, First, AskedAt] {
              for (std::size_t I = 0; I < Parts.size(); ++I)
                this->Nodes[First + I].Routes.credits().apply(Parts[I], AskedAt,
                                                              Clock::now());
            });
      }
  }
  for (Node &Item : this->Nodes)
    std::ranges::fill(Item.SpilledIn, 0);
}

} // namespace rr
