#include "steering/QuotaSimulation.h"

#include "steering/QuotaHolder.h"
#include "steering/StableHash.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <set>

namespace rr {

namespace {

using namespace std::chrono_literals;

constexpr Clock::duration Step = 10ms;
constexpr Clock::duration ReadPeriod = 2s;
constexpr Clock::duration WritePeriod = 2400ms;
constexpr Clock::duration ExchangePeriod = 250ms;
constexpr std::size_t Regions = 3;
/// Zipf exponent of the workspaces' sizes.
constexpr double WorkspaceSizeExponent = 0.8;
constexpr Clock::duration WavePeriod = 36s;
constexpr Clock::duration BurstPeriod = 6s;
constexpr double BurstFactor = 3;
const QuotaBounds Bounds{5s, 0.1, 20};

double seconds(Clock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

QuotaSimulation::QuotaSimulation(const QuotaSimulationLoad &Played)
    : Load(Played), Random(Played.Seed) {
  Clock::pause();
  this->Start = this->NextExchange = Clock::now();
  for (std::size_t Index = 0; Index < this->Load.Instances; ++Index) {
    const std::string Name = "i" + std::to_string(Index);
    this->Nodes.push_back(Node{Name,
                               "r" + std::to_string(Index % Regions),
                               MemberView(Name),
                               {},
                               {},
                               {},
                               {}});
  }
  // Instances read and write at different times.
  for (std::size_t Index = 0; Index < this->Nodes.size(); ++Index) {
    Node &Item = this->Nodes[Index];
    this->NodesByName[Item.Name] = &Item;
    Item.NextReadOffset = ReadPeriod * Index / this->Nodes.size();
    Item.NextWriteOffset = WritePeriod * Index / this->Nodes.size();
    MemberRecord &Row = this->Rows[Item.Name];
    Row.Name = Item.Name;
    Row.Zone = Row.Region = Item.Region;
    Row.PeerAddress = "127.0.0.1:1";
    Row.WrittenAt = this->Start.time_since_epoch();
  }
  double Sizes = 0;
  for (std::size_t Index = 0; Index < this->Load.Workspaces; ++Index)
    Sizes += std::pow(double(Index + 1), -WorkspaceSizeExponent);
  for (std::size_t Index = 0; Index < this->Load.Workspaces; ++Index) {
    SimulatedWorkspace Item{{}, TokenBucket(this->Start), {}};
    Item.Workspace.Name = "w" + std::to_string(Index);
    Item.Workspace.Rate = Item.Workspace.Burst =
        std::ceil(this->Load.TotalRate *
                  std::pow(double(Index + 1), -WorkspaceSizeExponent) / Sizes);
    Item.Ideal.setRate(toMicroRequests(Item.Workspace.Rate), this->Start);
    Item.Ideal.setCapacity(toMicroRequests(Item.Workspace.Burst), this->Start);
    Item.Ideal.deposit(toMicroRequests(Item.Workspace.Burst));
    this->SimulatedWorkspaces.push_back(std::move(Item));
  }
  for (Node &Item : this->Nodes) {
    for (const auto &Row : this->Rows)
      Item.View.apply(Row.second);
    Item.View.recordRead(this->Start.time_since_epoch(), false);
  }
}

QuotaSimulation::~QuotaSimulation() { Clock::resume(); }

void QuotaSimulation::run(Clock::duration Time) {
  for (Clock::duration Passed{0}; Passed < Time; Passed += Step)
    this->step();
}

void QuotaSimulation::step() {
  Clock::advance(Step);
  const Clock::time_point Now = Clock::now();
  this->exchangeRows(Now);
  if (this->Load.SharingPolicy == QuotaSimulationLoad::Policy::RegionHolders &&
      Now >= this->NextExchange) {
    this->NextExchange = Now + ExchangePeriod;
    for (Node &Item : this->Nodes)
      this->exchangeTokens(Item, Now);
  }
  for (SimulatedWorkspace &Item : this->SimulatedWorkspaces) {
    std::poisson_distribution<> Arrivals(this->demandOf(Item, Now) *
                                         seconds(Step));
    for (int Left = Arrivals(this->Random); Left > 0; --Left)
      this->offerRequest(Item, Now);
  }
}

void QuotaSimulation::exchangeRows(Clock::time_point Now) {
  const Clock::duration Time = Now.time_since_epoch();
  for (Node &Item : this->Nodes) {
    if (Now - this->Start >= Item.NextWriteOffset) {
      Item.NextWriteOffset += WritePeriod;
      MemberRecord &Row = this->Rows[Item.Name];
      Row.WrittenAt = Time;
      Row.Demand = Item.Gate.demand(Now);
    }
    if (Now - this->Start >= Item.NextReadOffset) {
      Item.NextReadOffset += ReadPeriod;
      for (const auto &Row : this->Rows)
        Item.View.apply(Row.second);
      Item.View.recordRead(Time, false);
    }
  }
}

double QuotaSimulation::demandOf(const SimulatedWorkspace &Item,
                                 Clock::time_point Now) const {
  const double Mean = Item.Workspace.Rate * this->Load.DemandRatio;
  if (!this->Load.Bursty)
    return Mean;
  // Workspaces burst at different times.
  const Clock::duration Offset =
      BurstPeriod * (stableHash(Item.Workspace.Name) % 64) / 64;
  const double Place =
      std::fmod(seconds(Now - this->Start + Offset), seconds(BurstPeriod));
  const double Rest =
      (seconds(BurstPeriod) - BurstFactor) / (seconds(BurstPeriod) - 1);
  return Mean * (Place < 1 ? BurstFactor : Rest);
}

QuotaSimulation::Node *QuotaSimulation::holderOf(const Node &Item,
                                                 const std::string &Region,
                                                 const std::string &Workspace) {
  const auto Candidates = Item.Holders.find(Region);
  if (Candidates == Item.Holders.end())
    return nullptr;
  const auto Found =
      this->NodesByName.find(chooseQuotaHolder(Candidates->second, Workspace));
  return Found == this->NodesByName.end() ? nullptr : Found->second;
}

void QuotaSimulation::exchangeTokens(Node &Item, Clock::time_point Now) {
  Item.Holders.clear();
  for (std::size_t Index = 0; Index < Regions; ++Index) {
    const std::string Region = "r" + std::to_string(Index);
    for (const MemberRecord *Record : Item.View.quotaHolders(Region))
      Item.Holders[Region].push_back(Record->Name);
  }
  std::set<Node *> Receivers;
  for (const SimulatedWorkspace &Each : this->SimulatedWorkspaces) {
    const SteeringWorkspace &Workspace = Each.Workspace;
    Node *Holder = this->holderOf(Item, Item.Region, Workspace.Name);
    const bool Holds = Holder == &Item;
    Item.Gate.setRole(Workspace, Holds ? QuotaRole::Holder : QuotaRole::Member,
                      Item.Region, Item.View, Bounds, Now);
    MicroRequests Amount = Item.Gate.takeMemberSurplus(Workspace.Name, Now);
    if (Holds) {
      Amount = Item.Gate.takeHolderSurplus(Workspace.Name, Now);
      Holder = this->holderOf(Item,
                              Item.View.largestDeficitRegion(
                                  Workspace.Name, Workspace.Rate, Item.Region),
                              Workspace.Name);
    }
    if (Amount > 0 && Holder) {
      Holder->Gate.deposit(Workspace.Name, Amount);
      Receivers.insert(Holder);
    }
  }
  this->Result.Messages += Receivers.size();
}

void QuotaSimulation::offerRequest(SimulatedWorkspace &Item,
                                   Clock::time_point Now) {
  std::vector<double> Weights;
  for (std::size_t Region = 0; Region < Regions; ++Region) {
    const double Phase =
        seconds(Now - this->Start) / seconds(WavePeriod) + double(Region) / 3;
    Weights.push_back(1 + this->Load.WaveAmplitude *
                              std::sin(2 * std::numbers::pi * Phase));
  }
  const std::size_t Region = std::discrete_distribution<std::size_t>(
      Weights.begin(), Weights.end())(this->Random);
  const std::size_t InRegion =
      (this->Nodes.size() + Regions - 1 - Region) / Regions;
  const std::size_t At =
      std::uniform_int_distribution<std::size_t>(0, InRegion - 1)(this->Random);
  const bool Owed = Item.Ideal.tryTake(OneRequest, Now);
  const bool Runs =
      this->Load.SharingPolicy == QuotaSimulationLoad::Policy::Central
          ? Owed
          : this->admit(Item, this->Nodes[At * Regions + Region], Now);
  ++this->Result.Offered;
  this->Result.IdealAdmitted += Owed ? 1 : 0;
  this->Result.WrongfulRefusals += Owed && !Runs ? 1 : 0;
  this->Result.Admitted += Runs ? 1 : 0;
  if (Runs)
    this->recordAdmitted(Item, Now);
}

bool QuotaSimulation::admit(const SimulatedWorkspace &Item, Node &At,
                            Clock::time_point Now) {
  const SteeringWorkspace &Workspace = Item.Workspace;
  if (At.Gate.acquire(Workspace, At.View, Bounds, Now) ==
      Clock::duration::zero())
    return true;
  Node *Holder = this->holderOf(At, At.Region, Workspace.Name);
  if (!Holder || Holder == &At)
    return false;
  ++this->Result.RemoteRequests;
  this->Result.Messages += 2;
  const QuotaGrant Grant = Holder->Gate.grant(
      Workspace.Name, At.Gate.batchSize(Workspace.Name, Now), Now);
  if (Grant.Amount < OneRequest)
    return false;
  At.Gate.deposit(Workspace.Name, Grant.Amount - OneRequest);
  return true;
}

void QuotaSimulation::recordAdmitted(SimulatedWorkspace &Item,
                                     Clock::time_point Now) {
  Item.Admitted.push_back(Now);
  while (Item.Admitted.front() + Bounds.Window <= Now)
    Item.Admitted.pop_front();
  const SteeringWorkspace &Workspace = Item.Workspace;
  const double Allowed =
      (Workspace.Rate * seconds(Bounds.Window) + Workspace.Burst) *
          (1 + Bounds.Overage) +
      Bounds.Tolerance;
  this->Result.WorstWindow = std::max(this->Result.WorstWindow,
                                      double(Item.Admitted.size()) / Allowed);
}

} // namespace rr
