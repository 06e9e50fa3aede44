#include "bench/ShareFleet.h"

#include "limits/ShareBalancer.h"

namespace rr {

namespace {

using namespace std::chrono_literals;

constexpr auto ReportInterval = 1s;
constexpr auto StorePeriod = 500ms;
constexpr auto InRegionDelay = 1ms;
constexpr auto StoreWriteTime = 20ms;
constexpr std::size_t RestartedInstance = 5;

std::size_t indexOf(const ShareHolder &Holder) {
  return std::size_t(std::stoul(Holder.Instance));
}

std::map<std::string, ShareAmount> allowances() {
  std::map<std::string, ShareAmount> Result;
  for (std::size_t I = 0; I < BenchWorkspaces; ++I)
    Result[workspaceName(I)] = {toMicroRequests(BenchRates[I]),
                                toMicroRequests(BenchBursts[I]), 0};
  return Result;
}

} // namespace

ShareFleet::ShareFleet(const LimitsScenario &Scenario, EventLoop &Loop,
                       LimitsTally &Tally)
    : Scenario(Scenario), Loop(Loop), Tally(Tally), Random(Scenario.Seed) {
  std::vector<AllocationMember> Members;
  for (std::size_t I = 0; I < BenchInstances; ++I) {
    this->Nodes.push_back(std::make_unique<ShareNode>(I, 1));
    Members.push_back({this->Nodes[I]->Ledger.self(), std::nullopt});
  }
  this->Store = makeAllocation(nullptr, 1, allowances(), Members);
  this->Allocator.observe(this->Store, Clock::now());
  // The run starts with a fleet that is up: the first epoch is in force.
  for (std::size_t I = 0; I < BenchInstances; ++I) {
    ShareLedger &Ledger = this->Nodes[I]->Ledger;
    (void)Ledger.adopt(this->Store, Clock::now());
    Ledger.confirmBarrier(this->Store.Epoch, Clock::now());
    Ledger.renewProof(this->Store.Epoch, Clock::now() + FreshnessLimit,
                      Clock::now());
    this->startTimers(I);
  }
  Loop.every(StorePeriod, StorePeriod, [this] {
    this->allocate();
    this->checkBarrier();
  });
  if (Scenario.KillAt) {
    Loop.after(*Scenario.KillAt, [this] { this->kill(); });
    Loop.after(*Scenario.KillAt + Scenario.RestartTime,
               [this] { this->restart(); });
  }
}

bool ShareFleet::isCut() const {
  return this->Scenario.CutAt &&
         this->Loop.elapsed() >= *this->Scenario.CutAt &&
         this->Loop.elapsed() < *this->Scenario.CutAt + this->Scenario.CutTime;
}

bool ShareFleet::canReach(std::size_t From, std::size_t To) const {
  return !this->isCut() || (regionOf(From) == BenchRegions - 1) ==
                               (regionOf(To) == BenchRegions - 1);
}

void ShareFleet::send(std::size_t From, std::size_t To,
                      std::function<void()> Task) {
  this->Tally.message();
  if (!this->canReach(From, To))
    return;
  const Clock::duration Delay = regionOf(From) == regionOf(To)
                                    ? Clock::duration(InRegionDelay)
                                    : this->Scenario.BetweenRegions;
  const ShareNode *Receiver = this->Nodes[To].get();
  this->Loop.after(Delay, [this, From, To, Receiver, Task = std::move(Task)] {
    if (this->Nodes[To].get() == Receiver && Receiver->Running &&
        this->canReach(From, To))
      Task();
  });
}

void ShareFleet::sendMove(std::size_t From, const ShareHolder &To,
                          const ShareMove &Move) {
  ++this->ShareMessages;
  const std::size_t Index = indexOf(To);
  this->send(From, Index, [this, Index, Move] {
    std::visit([&](const auto &Item) { this->handle(Index, Item); }, Move);
  });
}

void ShareFleet::handle(std::size_t Instance, const ShareRelease &Request) {
  ShareNode &Node = *this->Nodes[Instance];
  if (const auto Grant = Node.Ledger.release(Request, Clock::now()))
    this->sendMove(Instance, Grant->To, *Grant);
}

void ShareFleet::handle(std::size_t Instance, const BorrowRequest &Request) {
  ShareNode &Node = *this->Nodes[Instance];
  const auto Grant = Node.Ledger.lend(
      Request, Node.Meter.demand(Request.Workspace, Clock::now()),
      Node.Admission.isWaitingForTokens(Request.Workspace), Clock::now());
  if (Grant)
    this->sendMove(Instance, Grant->To, *Grant);
}

void ShareFleet::handle(std::size_t Instance, const ShareGrant &Grant) {
  this->carryOut(Instance,
                 this->Nodes[Instance]->Admission.receive(Grant, Clock::now()));
}

void ShareFleet::arrive(std::size_t Workspace, std::size_t Instance) {
  ShareNode &Node = *this->Nodes[Instance];
  if (!Node.Running || !Node.Ledger.isFresh(Clock::now()) ||
      !Node.Ledger.isListed()) {
    this->Tally.unserved();
    return;
  }
  const std::string Name = workspaceName(Workspace);
  const std::size_t Request =
      this->Tally.arrived(Workspace, this->Loop.seconds());
  this->carryOut(Instance, Node.Admission.submit(Name, Request, Clock::now()));
}

void ShareFleet::carryOut(std::size_t Instance, const AdmissionActions &Step) {
  for (const std::uint64_t Request : Step.Admitted)
    this->Tally.admitted(Request, this->Loop.seconds());
  for (const auto &[Request, Reason] : Step.Refused)
    this->Tally.refused(Request, this->Loop.seconds());
  for (const BorrowRequest &Request : Step.BorrowRequests)
    this->sendMove(Instance, Request.Lender, Request);
  for (const ShareGrant &Grant : Step.GrantsToReturn)
    this->sendMove(Instance, Grant.To, Grant);
  this->scheduleWake(Instance);
}

void ShareFleet::scheduleWake(std::size_t Instance) {
  ShareNode &Node = *this->Nodes[Instance];
  const auto Next = Node.Admission.nextWake(Clock::now());
  if (!Next || (Node.WakeAt && *Node.WakeAt <= *Next))
    return;
  Node.WakeAt = Next;
  this->Loop.at(*Next, [this, Instance, Due = *Next] {
    ShareNode &Woken = *this->Nodes[Instance];
    if (Woken.WakeAt != Due || !Woken.Running)
      return;
    Woken.WakeAt.reset();
    this->carryOut(Instance, Woken.Admission.wake(Clock::now()));
  });
}

void ShareFleet::startTimers(std::size_t Instance) {
  const ShareNode *Node = this->Nodes[Instance].get();
  const auto Each = [&](Clock::duration Period, auto Task) {
    const Clock::duration First(
        Clock::rep(this->Random() % std::uint64_t(Period.count())));
    this->Loop.every(Period, First, [this, Instance, Node, Task] {
      if (this->Nodes[Instance].get() == Node && Node->Running)
        (this->*Task)(Instance);
    });
  };
  Each(ReportInterval, &ShareFleet::exchange);
  Each(StorePeriod, &ShareFleet::readStore);
}

void ShareFleet::exchange(std::size_t Instance) {
  this->sendHeartbeat(Instance);
  this->sendSummaries(Instance);
  this->balance(Instance);
}

void ShareFleet::sendHeartbeat(std::size_t Instance) {
  ShareNode &Node = *this->Nodes[Instance];
  const auto Now = Clock::now();
  DemandReport Report{Node.Ledger.self(),
                      "z" + std::to_string(zoneOf(Instance)),
                      "r" + std::to_string(regionOf(Instance)),
                      Node.Ledger.epoch(), Node.Ledger.report(Now)};
  for (WorkspaceDemand &Item : Report.Workspaces)
    Item.Demand = Node.Meter.demand(Item.Workspace, Now);
  Node.note({Report, Now});
  for (std::size_t Relay = 0; Relay < BenchInstances; ++Relay)
    if (Relay != Instance && zoneOf(Relay) == zoneOf(Instance))
      this->send(Instance, Relay, [this, Relay, Report, Now] {
        this->Nodes[Relay]->note({Report, Now});
      });
}

void ShareFleet::sendSummaries(std::size_t Relay) {
  ShareNode &Node = *this->Nodes[Relay];
  for (std::size_t To = 0; To < BenchInstances; ++To) {
    if (To == Relay)
      continue;
    // Summaries merge by the smallest age.
    this->send(Relay, To, [this, To, Members = Node.Members] {
      for (const auto &[Holder, Entry] : Members)
        this->Nodes[To]->note(Entry);
    });
  }
}

void ShareFleet::balance(std::size_t Relay) {
  const ShareNode &Node = *this->Nodes[Relay];
  std::vector<DemandReport> Reports;
  for (const auto &[Holder, Entry] : Node.Members)
    if (Clock::now() - Entry.At < FreshnessLimit)
      Reports.push_back(Entry.Report);
  for (const ShareRelease &Move : planReleases(
           Reports, "z" + std::to_string(zoneOf(Relay)), this->Store)) {
    if (Move.Giver == Node.Ledger.self())
      this->handle(Relay, Move);
    else
      this->sendMove(Relay, Move.Giver, Move);
  }
}

void ShareFleet::readStore(std::size_t Instance) {
  const auto Start = Clock::now();
  // The read and its answer, as messages to the store's region.
  this->send(Instance, 0, [this, Instance, Start] {
    this->send(0, Instance, [this, Instance, Start, Row = this->Store] {
      ShareLedger &Ledger = this->Nodes[Instance]->Ledger;
      (void)Ledger.adopt(Row, Clock::now());
      Ledger.renewProof(Row.Epoch, Start + FreshnessLimit, Clock::now());
    });
  });
}

void ShareFleet::allocate() {
  const ShareNode &Holder = *this->Nodes[0];
  std::vector<AllocationMember> Members;
  for (const auto &[Member, Entry] : Holder.Members)
    if (!this->Ended.contains(Member))
      Members.push_back(
          {Member, Entry.Report, Clock::now() - Entry.At >= FreshnessLimit});
  // Reports have to arrive before members can be missed.
  if (this->Loop.elapsed() < 2 * FreshnessLimit)
    return;
  const auto Due =
      this->Allocator.dueReason(allowances(), Members, Clock::now());
  if (!Due)
    return;
  this->Loop.after(StoreWriteTime, [this, Members, Due] {
    if (Due == AllocationReason::HolderAdded) {
      this->Store = addHolders(this->Store, 1, Members);
    } else {
      this->Previous = this->Store;
      this->Store = makeAllocation(&this->Previous, 1, allowances(), Members);
    }
    this->Allocator.observe(this->Store, Clock::now());
  });
}

void ShareFleet::checkBarrier() {
  std::map<ShareHolder, std::uint64_t> Adopted;
  for (const auto &[Holder, Entry] : this->Nodes[0]->Members)
    Adopted[Holder] = Entry.Report.Epoch;
  const std::uint64_t Epoch = this->Store.Epoch;
  if (!decreasesAcknowledged(this->Previous, Epoch, Adopted, this->Ended))
    return;
  this->Allocator.confirmBarrier(Epoch, Clock::now());
  for (std::size_t To = 0; To < BenchInstances; ++To)
    this->send(0, To, [this, To, Epoch] {
      this->Nodes[To]->Ledger.confirmBarrier(Epoch, Clock::now());
    });
}

void ShareFleet::kill() {
  ShareNode &Node = *this->Nodes[RestartedInstance];
  Node.Running = false;
  // The refused connection of the next heartbeat proves that it ended.
  this->Loop.after(ReportInterval, [this, Holder = Node.Ledger.self()] {
    this->Ended.insert(Holder);
  });
}

void ShareFleet::restart() {
  const std::uint64_t Incarnation =
      this->Nodes[RestartedInstance]->Ledger.self().Incarnation + 1;
  this->Nodes[RestartedInstance] =
      std::make_unique<ShareNode>(RestartedInstance, Incarnation);
  this->startTimers(RestartedInstance);
}

double ShareFleet::heldPart(std::size_t Workspace, std::size_t Instance) {
  return toRequests(this->Nodes[Instance]
                        ->Ledger.held(workspaceName(Workspace), Clock::now())
                        .Rate) /
         BenchRates[Workspace];
}

} // namespace rr
