#include "steering/QuotaFleet.h"

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
constexpr Clock::duration PassPeriod = 250ms;
constexpr std::size_t Regions = 3;
/// Zipf exponent of the workspaces' sizes.
constexpr double SizeExponent = 0.8;
constexpr Clock::duration WavePeriod = 36s;
constexpr Clock::duration BurstPeriod = 6s;
constexpr double BurstFactor = 3;
const QuotaBounds Bounds{5s, 0.1, 20};

double seconds(Clock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

QuotaFleet::QuotaFleet(const QuotaLoad &Played)
    : Load(Played), Random(Played.Seed) {
  Clock::pause();
  this->Start = this->NextPass = Clock::now();
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
    Item.ReadAt = ReadPeriod * Index / this->Nodes.size();
    Item.WriteAt = WritePeriod * Index / this->Nodes.size();
    MemberRecord &Row = this->Rows[Item.Name];
    Row.Name = Item.Name;
    Row.Zone = Row.Region = Item.Region;
    Row.PeerAddress = "127.0.0.1:1";
    Row.WrittenAt = this->Start.time_since_epoch();
  }
  double Sizes = 0;
  for (std::size_t Index = 0; Index < this->Load.Workspaces; ++Index)
    Sizes += std::pow(double(Index + 1), -SizeExponent);
  for (std::size_t Index = 0; Index < this->Load.Workspaces; ++Index) {
    Subject Item{{}, TokenBucket(this->Start), {}};
    Item.Workspace.Name = "w" + std::to_string(Index);
    Item.Workspace.Rate = Item.Workspace.Burst =
        std::ceil(this->Load.TotalRate *
                  std::pow(double(Index + 1), -SizeExponent) / Sizes);
    Item.Ideal.setRate(toMicroRequests(Item.Workspace.Rate), this->Start);
    Item.Ideal.setCapacity(toMicroRequests(Item.Workspace.Burst), this->Start);
    Item.Ideal.deposit(toMicroRequests(Item.Workspace.Burst));
    this->Subjects.push_back(std::move(Item));
  }
  for (Node &Item : this->Nodes) {
    for (const auto &Row : this->Rows)
      Item.View.apply(Row.second);
    Item.View.noteRead(this->Start.time_since_epoch(), false);
  }
}

QuotaFleet::~QuotaFleet() { Clock::resume(); }

void QuotaFleet::play(Clock::duration Time) {
  for (Clock::duration Passed{0}; Passed < Time; Passed += Step)
    this->step();
}

void QuotaFleet::step() {
  Clock::advance(Step);
  const Clock::time_point Now = Clock::now();
  this->exchangeRows(Now);
  if (this->Load.Holding == QuotaLoad::Policy::RegionHolders &&
      Now >= this->NextPass) {
    this->NextPass = Now + PassPeriod;
    for (Node &Item : this->Nodes)
      this->passTokens(Item, Now);
  }
  for (Subject &Item : this->Subjects) {
    std::poisson_distribution<> Arrivals(this->demandOf(Item, Now) *
                                         seconds(Step));
    for (int Left = Arrivals(this->Random); Left > 0; --Left)
      this->offer(Item, Now);
  }
}

void QuotaFleet::exchangeRows(Clock::time_point Now) {
  const Clock::duration Time = Now.time_since_epoch();
  for (Node &Item : this->Nodes) {
    if (Now - this->Start >= Item.WriteAt) {
      Item.WriteAt += WritePeriod;
      MemberRecord &Row = this->Rows[Item.Name];
      Row.WrittenAt = Time;
      Row.Demand = Item.Gate.demand(Now);
    }
    if (Now - this->Start >= Item.ReadAt) {
      Item.ReadAt += ReadPeriod;
      for (const auto &Row : this->Rows)
        Item.View.apply(Row.second);
      Item.View.noteRead(Time, false);
    }
  }
}

double QuotaFleet::demandOf(const Subject &Item, Clock::time_point Now) const {
  const double Mean = Item.Workspace.Rate * this->Load.Demand;
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

QuotaFleet::Node *QuotaFleet::holderOf(const Node &Item,
                                       const std::string &Region,
                                       const std::string &Workspace) {
  const auto Candidates = Item.Holders.find(Region);
  if (Candidates == Item.Holders.end())
    return nullptr;
  const auto Found =
      this->NodesByName.find(chooseQuotaHolder(Candidates->second, Workspace));
  return Found == this->NodesByName.end() ? nullptr : Found->second;
}

void QuotaFleet::passTokens(Node &Item, Clock::time_point Now) {
  Item.Holders.clear();
  for (std::size_t Index = 0; Index < Regions; ++Index) {
    const std::string Region = "r" + std::to_string(Index);
    for (const MemberRecord *Record : Item.View.quotaHolders(Region))
      Item.Holders[Region].push_back(Record->Name);
  }
  std::set<Node *> Receivers;
  for (const Subject &Each : this->Subjects) {
    const SteeringWorkspace &Workspace = Each.Workspace;
    Node *Holder = this->holderOf(Item, Item.Region, Workspace.Name);
    const bool Holds = Holder == &Item;
    Item.Gate.setRole(Workspace, Holds ? QuotaRole::Holder : QuotaRole::Member,
                      Item.Region, Item.View, Bounds, Now);
    MicroRequests Amount = Item.Gate.surrender(Workspace.Name, Now);
    if (Holds) {
      Amount = Item.Gate.overflow(Workspace.Name, Now);
      Holder = this->holderOf(
          Item,
          Item.View.neediestRegion(Workspace.Name, Workspace.Rate, Item.Region),
          Workspace.Name);
    }
    if (Amount > 0 && Holder) {
      Holder->Gate.deposit(Workspace.Name, Amount);
      Receivers.insert(Holder);
    }
  }
  this->Tally.Messages += Receivers.size();
}

void QuotaFleet::offer(Subject &Item, Clock::time_point Now) {
  std::vector<double> Weights;
  for (std::size_t Region = 0; Region < Regions; ++Region) {
    const double Phase =
        seconds(Now - this->Start) / seconds(WavePeriod) + double(Region) / 3;
    Weights.push_back(1 + this->Load.Swing *
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
      this->Load.Holding == QuotaLoad::Policy::Central
          ? Owed
          : this->admit(Item, this->Nodes[At * Regions + Region], Now);
  ++this->Tally.Offered;
  this->Tally.Owed += Owed ? 1 : 0;
  this->Tally.Wrongful += Owed && !Runs ? 1 : 0;
  this->Tally.Admitted += Runs ? 1 : 0;
  if (Runs)
    this->noteAdmitted(Item, Now);
}

bool QuotaFleet::admit(const Subject &Item, Node &At, Clock::time_point Now) {
  const SteeringWorkspace &Workspace = Item.Workspace;
  if (At.Gate.take(Workspace, At.View, Bounds, Now) == Clock::duration::zero())
    return true;
  Node *Holder = this->holderOf(At, At.Region, Workspace.Name);
  if (!Holder || Holder == &At)
    return false;
  ++this->Tally.Asked;
  this->Tally.Messages += 2;
  const QuotaGrant Grant = Holder->Gate.lend(
      Workspace.Name, At.Gate.batch(Workspace.Name, Now), Now);
  if (Grant.Amount < OneRequest)
    return false;
  At.Gate.deposit(Workspace.Name, Grant.Amount - OneRequest);
  return true;
}

void QuotaFleet::noteAdmitted(Subject &Item, Clock::time_point Now) {
  Item.Admitted.push_back(Now);
  while (Item.Admitted.front() + Bounds.Window <= Now)
    Item.Admitted.pop_front();
  const SteeringWorkspace &Workspace = Item.Workspace;
  const double Allowed =
      (Workspace.Rate * seconds(Bounds.Window) + Workspace.Burst) *
          (1 + Bounds.Overage) +
      Bounds.Tolerance;
  this->Tally.WorstWindow =
      std::max(this->Tally.WorstWindow, double(Item.Admitted.size()) / Allowed);
}

} // namespace rr
