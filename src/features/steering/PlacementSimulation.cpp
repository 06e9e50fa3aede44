#include "steering/PlacementSimulation.h"

#include "steering/CostPlacement.h"
#include "steering/ObservedLoad.h"
#include "steering/PlacementRule.h"
#include "steering/SimulatedServer.h"
#include "steering/StableHash.h"
#include "steering/SteeringTestBed.h"

#include <cmath>
#include <memory>
#include <queue>

namespace rr {

namespace {

/// 3% of the requests cost seven times as much; the others vary by 15%.
constexpr double HeavyShare = 0.03;
constexpr double HeavyFactor = 7;
constexpr double Spread = 0.15;
/// Mean of the speed of the machines, see SimulatedServer.
constexpr double MeanFactor = 1.15;

Clock::duration ticks(Seconds Time) {
  return std::chrono::duration_cast<Clock::duration>(Time);
}

/// One instance with its own view of the servers.
struct Instance {
  explicit Instance(std::uint64_t Seed) : ByCost(Seed) {}
  BackendPool Pool{{{"s-a", "s"}}};
  RoundTripTimes Network{"s-a", "s"};
  ProcessingTimes Work;
  CostPlacement ByCost;
};

struct Call {
  Instance *Sender = nullptr;
  PlacementQuery Query;
  Clock::time_point Arrived{};
  Seconds Cold{0};
  int Attempts = 0;
};
using CallPtr = std::shared_ptr<Call>;

class Simulation {
public:
  explicit Simulation(const PlacementScenario &Given)
      : Scenario(Given), Random(Given.Seed) {
    Clock::pause();
    const Clock::time_point Start = Clock::now();
    this->Measured = Start + ticks(Given.WarmUp);
    this->End = this->Measured + ticks(Given.Length);
    this->Route = testRoute();
    this->Route.TargetLatency = ticks(Given.Target);
    this->Route.Timeout = ticks(5 * Given.Target);
    for (int Index = 0; Index < Given.Servers; ++Index)
      this->Servers.emplace_back(Given.Slots, Given.CacheSize, Given.CachedPart,
                                 Given.Seed * 1000 + std::uint64_t(Index),
                                 Start, this->End);
    for (int Index = 0; Index < Given.Instances; ++Index) {
      this->Instances.push_back(
          std::make_unique<Instance>(Given.Seed * 7919 + std::uint64_t(Index)));
      for (int Server = 0; Server < Given.Servers; ++Server)
        this->Instances.back()->Pool.apply(
            testBackend(std::to_string(Server), "s-a", Given.Slots), Start);
    }
    std::vector<double> Weights;
    for (int Index = 0; Index < Given.ObjectsPerServer * Given.Servers; ++Index)
      Weights.push_back(std::pow(Index + 1, -Given.Skew));
    this->Objects =
        std::discrete_distribution<int>(Weights.begin(), Weights.end());
  }
  ~Simulation() { Clock::resume(); }
  Simulation(const Simulation &) = delete;
  Simulation &operator=(const Simulation &) = delete;

  PlacementOutcome run() {
    this->scheduleArrival();
    while (!this->Events.empty()) {
      const Event Next = this->Events.top();
      this->Events.pop();
      Clock::advance(Next.At - Clock::now());
      Next.Action();
    }
    return this->Result;
  }

private:
  struct Event {
    Clock::time_point At;
    std::uint64_t Order;
    std::function<void()> Action;
    bool operator<(const Event &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(this->At, this->Order);
    }
  };

  void at(Clock::time_point Time, std::function<void()> Action) {
    this->Events.push({Time, this->Order++, std::move(Action)});
  }

  bool counts(const Call &Item) const { return Item.Arrived >= this->Measured; }

  void scheduleArrival() {
    const double Part =
        this->Scenario.ObjectsPerServer ? this->Scenario.CachedPart : 1;
    const Seconds Mean = this->Scenario.ColdWork * Part * MeanFactor *
                         (1 + HeavyShare * (HeavyFactor - 1));
    const double Rate = this->Scenario.Use * this->Scenario.Servers *
                        this->Scenario.Slots / Mean.count();
    std::exponential_distribution<> Gap(Rate);
    const Clock::time_point Next =
        Clock::now() + ticks(Seconds(Gap(this->Random)));
    if (Next < this->End)
      this->at(Next, [this] { this->arrive(); });
  }

  void arrive() {
    this->scheduleArrival();
    const CallPtr Item = std::make_shared<Call>();
    std::uniform_real_distribution<> Uniform;
    std::normal_distribution<> Normal(0, Spread);
    Item->Sender =
        this->Instances[this->Random() % this->Instances.size()].get();
    Item->Arrived = Clock::now();
    Item->Cold = this->Scenario.ColdWork * std::exp(Normal(this->Random));
    if (Uniform(this->Random) < HeavyShare)
      Item->Cold *= HeavyFactor;
    Item->Query.Route = &this->Route;
    Item->Query.Service = "stock";
    Item->Query.Priority = 2;
    if (this->Scenario.ObjectsPerServer)
      Item->Query.Object = mixHashes(std::uint64_t(this->Objects(this->Random)),
                                     this->Scenario.Seed);
    this->Result.Requests += this->counts(*Item);
    this->place(Item);
  }

  void place(const CallPtr &Item) {
    Instance &Sender = *Item->Sender;
    const Clock::time_point Now = Clock::now();
    Item->Query.TimeLeft = Item->Arrived + this->Route.Timeout - Now;
    const RequestPermit Permit = [](const BackendState &) { return true; };
    Placement Decision =
        this->Scenario.ByCost
            ? Sender.ByCost.choose(Item->Query, Sender.Pool, Sender.Network,
                                   Permit, Now)
            : choosePlacement(Item->Query,
                              Sender.Pool.serversForService("stock"),
                              Sender.Work, Sender.Network, Permit, Now);
    if (Decision.Outcome != Placement::Result::Found) {
      this->Result.Refused += this->counts(*Item);
      return;
    }
    ++Item->Attempts;
    this->send(Item, std::move(Decision));
  }

  void send(const CallPtr &Item, Placement Decision) {
    const Clock::time_point Sent = Clock::now();
    BackendState &Server = *Decision.Server;
    ++Server.InFlight;
    std::uint64_t Id = 0;
    if (Decision.Cost)
      Id = addRunning(Server.Backlog,
                      {0, Sent, Sent + Decision.ExpectedWait, *Decision.Cost});
    if (Item->Query.Object)
      recordObjectUse(Server, *Item->Query.Object, Sent);
    const Clock::duration Way = ticks(this->Scenario.RoundTrip / 2);
    this->at(Sent + Way,
             [this, Item, Decision = std::move(Decision), Sent, Way, Id] {
               SimulatedServer &Target =
                   this->Servers[std::stoul(Decision.Server->Record.Id)];
               this->Result.Arrivals += this->counts(*Item);
               SimulatedWork Work;
               Work.Object = Item->Query.Object;
               Work.Cold = Item->Cold;
               const Clock::time_point Arrived = Clock::now();
               Work.Started = [this, Item, Decision, Sent, Way, Id, Arrived,
                               &Target](bool Cached, Clock::time_point Done) {
                 if (this->counts(*Item)) {
                   const Seconds Wait = Clock::now() - Arrived;
                   this->Result.Wait += Wait;
                   this->Result.LongWaits += Wait > this->Scenario.Target / 10;
                   this->Result.CachedRuns += Cached;
                   ++this->Result.Runs;
                 }
                 this->at(Done, [this, Item, Decision, Sent, Way, Id, &Target] {
                   Target.finish(Clock::now());
                   const LoadSample Report = Target.report(Clock::now());
                   this->at(Clock::now() + Way,
                            [this, Item, Decision, Sent, Id, Report] {
                              this->answered(*Item, Decision, Sent, Id, Report);
                            });
                 });
               };
               if (Target.arrive(std::move(Work), Arrived))
                 return;
               const LoadSample Report = Target.report(Arrived);
               this->at(Arrived + Way, [this, Item, Decision, Id, Report] {
                 this->refused(Item, Decision, Id, Report);
               });
             });
  }

  void end(const Placement &Decision, std::uint64_t Id, Instance &Sender,
           const LoadSample &Report) {
    BackendState &Server = *Decision.Server;
    --Server.InFlight;
    if (Id)
      removeRunning(Server.Backlog, Id);
    noteLoad(Server, Report, Clock::now());
    Sender.ByCost.noteReport(Server, Report, ticks(this->Scenario.RoundTrip),
                             Clock::now());
  }

  void answered(const Call &Item, const Placement &Decision,
                Clock::time_point Sent, std::uint64_t Id,
                const LoadSample &Report) {
    Instance &Sender = *Item.Sender;
    const Clock::time_point Now = Clock::now();
    this->end(Decision, Id, Sender, Report);
    noteAttempt(*Decision.Server, false, Now);
    const auto Decile =
        completionDecile(Decision, ticks(this->Scenario.RoundTrip), Now - Sent);
    if (Decile && this->counts(Item))
      ++this->Result.Deciles[std::size_t(*Decile)];
    if (this->counts(Item))
      ++(Seconds(Now - Item.Arrived) <= this->Scenario.Target
             ? this->Result.InTime
             : this->Result.Late);
    if (Report.Running + Report.Waiting < Report.Slots)
      noteSlowness(*Decision.Server,
                   Sender.Work.recordAnswer(this->Route, "stock",
                                            Decision.Affinity, Now - Sent,
                                            1000),
                   Now);
    if (this->Scenario.ByCost)
      Sender.ByCost.noteAnswer(Item.Query, Decision, Now - Sent,
                               ticks(this->Scenario.RoundTrip), Report, 1000,
                               Now);
  }

  void refused(const CallPtr &Item, const Placement &Decision, std::uint64_t Id,
               const LoadSample &Report) {
    this->Result.RefusedArrivals += this->counts(*Item);
    this->end(Decision, Id, *Item->Sender, Report);
    noteAttempt(*Decision.Server, true, Clock::now());
    Item->Query.TriedServers.insert(Decision.Server->Record.Id);
    if (Item->Attempts < this->Scenario.MaxAttempts)
      this->place(Item);
    else
      this->Result.Refused += this->counts(*Item);
  }

  PlacementScenario Scenario;
  RandomEngine Random;
  Clock::time_point Measured;
  Clock::time_point End;
  SteeringRoute Route;
  std::vector<SimulatedServer> Servers;
  std::vector<std::unique_ptr<Instance>> Instances;
  std::discrete_distribution<int> Objects;
  std::priority_queue<Event> Events;
  std::uint64_t Order = 0;
  PlacementOutcome Result;
};

double share(int Part, int Whole) {
  return Whole > 0 ? double(Part) / Whole : 0;
}

} // namespace

double PlacementOutcome::refusedArrivalShare() const {
  return share(this->RefusedArrivals, this->Arrivals);
}
double PlacementOutcome::refusedShare() const {
  return share(this->Refused, this->Requests);
}
double PlacementOutcome::inTimeShare() const {
  return share(this->InTime, this->Requests);
}
double PlacementOutcome::cachedShare() const {
  return share(this->CachedRuns, this->Runs);
}
double PlacementOutcome::longWaitShare() const {
  return share(this->LongWaits, this->Runs);
}
Seconds PlacementOutcome::meanWait() const {
  return this->Runs > 0 ? this->Wait / this->Runs : Seconds(0);
}

PlacementOutcome simulatePlacement(const PlacementScenario &Scenario) {
  return Simulation(Scenario).run();
}

} // namespace rr
