#include "bench/RoutingSimulation.h"

#include <algorithm>

namespace rr {

namespace {

using namespace std::chrono_literals;

constexpr Clock::duration Timeout = 2s;
constexpr Clock::duration SampleInterval = 10ms;
constexpr Clock::duration FailureTime = 2ms;
constexpr double RetryableShare = 0.7;
// Half of a service time is the same for all requests, half is exponential.
constexpr double FixedPart = 0.5;

double exponential(RandomEngine &Random, double Mean) {
  return std::exponential_distribution<double>(1 / Mean)(Random);
}

Clock::duration seconds(double Value) {
  return std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(Value));
}

} // namespace

RoutingSimulation::RoutingSimulation(const RoutingScenario &Scenario,
                                     std::uint64_t Seed)
    : Scenario(Scenario), ArrivalRandom(Seed), ServerRandom(Seed + 1),
      PolicyRandom(Seed + 2), Started(Clock::now()) {
  for (const BackendServer &Item : Scenario.Config.Servers) {
    SimServer Server;
    Server.Name = Item.Name;
    Server.Slots = Item.Slots;
    Server.Zone = static_cast<std::size_t>(Item.Zone[1] - '0');
    Server.Region = this->regionOfZone(Server.Zone);
    while (Scenario.Services[Server.Service].Name != Item.Service)
      ++Server.Service;
    Server.Fails = Item.Name == Scenario.FailingServer;
    Server.ReportsNoLoad = Item.Name == Scenario.LyingServer;
    if (Item.Name == Scenario.SlowServer)
      Server.Slowness = 5;
    if (Server.ReportsNoLoad)
      Server.Slowness = 3;
    this->Servers.push_back(std::move(Server));
  }
  const std::size_t Regions = Scenario.Regions.size();
  this->LinkBytes.assign(Regions * Regions, 0);
}

double RoutingSimulation::arrivalRate(std::size_t Region,
                                      std::size_t Service) const {
  // Each region gets a third of what the fleet's slots can take.
  double Slots = 0;
  for (const SimServer &Server : this->Servers)
    Slots += Server.Service == Service ? Server.Slots : 0;
  const std::chrono::duration<double> Time =
      this->Scenario.Services[Service].Time;
  const double Rate = this->Scenario.BaseLoad * Slots / Time.count() /
                      static_cast<double>(this->Scenario.Regions.size());
  const bool Doubled =
      Region == 0 && Clock::now() - this->Started >= this->Scenario.DoubledFrom;
  return Doubled ? 2 * Rate : Rate;
}

bool RoutingSimulation::isCounted() const {
  return Clock::now() - this->Started >= this->Scenario.WarmUp;
}

void RoutingSimulation::after(Clock::duration Delay,
                              std::function<void()> Action) {
  this->Events.push(
      {Clock::now() + Delay, this->NextOrder++, std::move(Action)});
}

void RoutingSimulation::repeat(Clock::duration Interval,
                               const std::function<void()> &Action) {
  this->after(Interval, [this, Interval, &Action] {
    Action();
    this->repeat(Interval, Action);
  });
}

RoutingMetrics RoutingSimulation::run(const RoutingPolicy &Policy) {
  for (std::size_t Region = 0; Region < this->Scenario.Regions.size(); ++Region)
    for (std::size_t I = 0; I < this->Scenario.Services.size(); ++I)
      this->scheduleArrivals(Policy, Region, I);
  const std::function<void()> Sample = [this] { this->sample(); };
  const std::function<void()> EndSecond = [this] {
    for (double &Bytes : this->LinkBytes) {
      if (this->isCounted())
        this->Metrics.HighestLinkUse =
            std::max(this->Metrics.HighestLinkUse,
                     Bytes / this->Scenario.LinkBytesPerSecond);
      Bytes = 0;
    }
  };
  this->repeat(1s, Policy.Report);
  this->repeat(5ms, Policy.Tick);
  this->repeat(SampleInterval, Sample);
  this->repeat(1s, EndSecond);
  const Clock::time_point End = this->Started + this->Scenario.End;
  while (this->Events.top().At < End) {
    // The queue gives constant access only; the element is removed next.
    Event Next = std::move(const_cast<Event &>(this->Events.top()));
    this->Events.pop();
    Clock::advance(Next.At - Clock::now());
    Next.Action();
  }
  // Pending events hold leases that refer to the state of the policy.
  this->Events = {};
  return this->Metrics;
}

void RoutingSimulation::scheduleArrivals(const RoutingPolicy &Policy,
                                         std::size_t Region,
                                         std::size_t Service) {
  const double Rate = this->arrivalRate(Region, Service);
  this->after(seconds(exponential(this->ArrivalRandom, 1 / Rate)),
              [this, &Policy, Region, Service] {
                this->arrive(Policy, Region, Service);
                this->scheduleArrivals(Policy, Region, Service);
              });
}

void RoutingSimulation::arrive(const RoutingPolicy &Policy, std::size_t Region,
                               std::size_t Service) {
  const std::size_t PerRegion =
      this->Scenario.Instances.size() / this->Scenario.Regions.size();
  auto Request = std::make_shared<SimRequest>();
  const auto &Weights = this->Scenario.WorkspaceWeights;
  Request->Workspace = std::discrete_distribution<std::size_t>(
      Weights.begin(), Weights.end())(this->ArrivalRandom);
  Request->Service = Service;
  Request->Region = Region;
  Request->Entry = Region * PerRegion + this->ArrivalRandom() % PerRegion;
  Request->Arrived = Clock::now();
  Request->Deadline = Clock::now() + Timeout;
  Request->MayRetry =
      std::bernoulli_distribution(RetryableShare)(this->ArrivalRandom);
  Policy.Arrive(std::move(Request));
}

void RoutingSimulation::startOnServer(
    std::size_t Number, const SimRequest &Request,
    std::function<void(RequestOutcome)> Done) {
  SimServer &Server = this->Servers[Number];
  Server.Queue.push_back({Request.Deadline, std::move(Done)});
  if (this->isCounted())
    this->Metrics.HighestSlotUse = std::max(
        this->Metrics.HighestSlotUse, double(Server.load()) / Server.Slots);
  this->startNext(Number);
}

void RoutingSimulation::startNext(std::size_t Number) {
  SimServer &Server = this->Servers[Number];
  while (Server.Running < Server.Slots && !Server.Queue.empty()) {
    SimServer::Waiting Next = std::move(Server.Queue.front());
    Server.Queue.pop_front();
    if (Clock::now() >= Next.Deadline)
      Next.Done(RequestOutcome::Abandoned);
    else
      this->execute(Number, std::move(Next.Done));
  }
}

void RoutingSimulation::execute(std::size_t Number,
                                std::function<void(RequestOutcome)> Done) {
  SimServer &Server = this->Servers[Number];
  ++Server.Running;
  const std::chrono::duration<double> Mean =
      this->Scenario.Services[Server.Service].Time;
  const double Time =
      Server.Slowness * Mean.count() *
      (FixedPart + exponential(this->ServerRandom, 1 - FixedPart));
  const bool Fails = Server.Fails;
  this->after(Fails ? FailureTime : seconds(Time),
              [this, Number, Fails, Done = std::move(Done)] {
                --this->Servers[Number].Running;
                Done(Fails ? RequestOutcome::Failure : RequestOutcome::Success);
                this->startNext(Number);
              });
}

void RoutingSimulation::countTransfer(std::size_t From, std::size_t To,
                                      double Bytes) {
  if (From != To)
    this->LinkBytes[From * this->Scenario.Regions.size() + To] += Bytes;
}

void RoutingSimulation::countSpill(std::size_t Region, std::size_t Service) {
  if (!this->isCounted())
    return;
  std::size_t Slots = 0;
  std::size_t Load = 0;
  for (const SimServer &Server : this->Servers)
    if (Server.Region == Region && Server.Service == Service) {
      Slots += Server.Slots;
      Load += Server.load();
    }
  ++this->Metrics.Spilled;
  this->Metrics.SpilledIntoFull += Load >= Slots ? 1 : 0;
}

void RoutingSimulation::end(const SimRequest &Request,
                            RoutingMetrics::End How) {
  if (Request.Arrived - this->Started < this->Scenario.WarmUp)
    return;
  const std::chrono::duration<double, std::milli> Latency =
      Clock::now() - Request.Arrived + 2 * this->Scenario.ClientLatency;
  this->Metrics.count(Request, How, Latency.count());
}

Clock::duration RoutingSimulation::latency(std::size_t FromZone,
                                           std::size_t ToZone) const {
  if (FromZone == ToZone)
    return Clock::duration::zero();
  return this->regionOfZone(FromZone) == this->regionOfZone(ToZone)
             ? this->Scenario.ZoneLatency
             : this->Scenario.RegionLatency;
}

void RoutingSimulation::sample() {
  if (!this->isCounted())
    return;
  const std::size_t Services = this->Scenario.Services.size();
  std::vector<std::size_t> Load(this->Scenario.Regions.size() * Services);
  std::vector<std::size_t> Slots(Load.size());
  double Free = 0;
  double All = 0;
  for (const SimServer &Server : this->Servers) {
    const std::size_t Place = Server.Region * Services + Server.Service;
    Load[Place] += Server.load();
    Slots[Place] += Server.Slots;
    Free += Server.Slots - Server.Running;
    All += Server.Slots;
  }
  for (std::size_t I = 0; I < Load.size(); ++I) {
    ++this->Metrics.Samples;
    this->Metrics.OverloadSamples += Load[I] > Slots[I] ? 1 : 0;
  }
  this->Metrics.FreeShareSum += Free / All;
  ++this->Metrics.FreeShareSamples;
}

} // namespace rr
