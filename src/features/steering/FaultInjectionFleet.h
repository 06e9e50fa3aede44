#ifndef REDWINGRACK_STEERING_FAULTINJECTIONFLEET_H
#define REDWINGRACK_STEERING_FAULTINJECTIONFLEET_H

#include "retry/RetryBudget.h"
#include "steering/ColdServerLimiter.h"
#include "steering/MemberView.h"
#include "steering/QuotaHolder.h"
#include "steering/QuotaLimiter.h"
#include "steering/ShareEligibility.h"
#include "steering/SteeringTestBed.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace rr {

/// Simulates instances that exchange rows through a store with the periods of
/// the real ones, under random faults: instances lose the store, restart, are
/// replaced or are suspended; the store is unavailable or read-only.
class FaultInjectionFleet {
public:
  /// Limits that the tests check against.
  static constexpr Clock::duration Step = std::chrono::milliseconds(10);
  static constexpr Clock::duration RevocationTime = std::chrono::seconds(5);
  static constexpr Clock::duration RevocationMargin =
      std::chrono::milliseconds(400);
  static constexpr QuotaBounds Bounds{std::chrono::seconds(5), 0.1, 20};

  FaultInjectionFleet(unsigned Seed, std::size_t Size, std::size_t Regions = 1)
      : Random(Seed), Regions(Regions) {
    Clock::pause();
    this->Nodes.resize(Size);
    for (std::size_t Index = 0; Index < Size; ++Index)
      this->start(Index);
    this->advance(std::chrono::seconds(4));
  }
  ~FaultInjectionFleet() { Clock::resume(); }

  struct Node {
    std::string Name;
    std::string Region;
    std::optional<MemberView> View;
    QuotaLimiter Quotas;
    ColdServerLimiter ColdServers;
    RetryBudget Retries;
    Clock::time_point NextRead{};
    Clock::time_point NextWrite{};
    Clock::time_point ReadAt{};
    Clock::duration ReadStoreTime{0};
    Clock::time_point LastStoreContactAt{};
    ShareEligibility Eligibility;
    Clock::time_point StoreCutUntil{};
    /// Other instances are unreachable too.
    Clock::time_point PeersCutUntil{};
    Clock::time_point NextExchange{};
    /// By region.
    std::map<std::string, std::vector<std::string>> Holders;
    /// Tokens in the receive buffer of an instance that is paused.
    MicroRequests Unread = 0;
    /// The last row said that the instance does not use its share yet.
    bool Joining = false;
    Clock::time_point PausedUntil{};
    Clock::time_point DownUntil{};
    bool HasRead = false;
  };

  void advance(Clock::duration Time) {
    for (Clock::duration Passed{0}; Passed < Time; Passed += Step)
      this->step();
  }

  void step() {
    Clock::advance(Step);
    for (std::size_t Index = 0; Index < this->Nodes.size(); ++Index)
      this->stepNode(this->Nodes[Index]);
  }

  /// Whether the instance serves authenticated requests now.
  bool serves(const Node &Item) const {
    const Clock::time_point Now = Clock::now();
    return Item.HasRead && Now >= Item.DownUntil && Now >= Item.PausedUntil &&
           Item.Eligibility.mayUseShare(Now) &&
           Now < Item.LastStoreContactAt + RevocationTime - RevocationMargin;
  }

  /// Whether the instance uses its share now; begins its tenure as
  /// QuotaExchange does.
  bool useShare(Node &Item) {
    if (!this->serves(Item))
      return false;
    Item.Quotas.beginTenure(Item.Eligibility.tenure(),
                            Item.Eligibility.wasRedistributed(), Clock::now());
    return true;
  }

  /// The instance that holds tokens of \p Workspace for \p Region according to
  /// \p Item.
  std::string holderOf(const Node &Item, const std::string &Region,
                       const SteeringWorkspace &Workspace) const {
    const auto Found = Item.Holders.find(Region);
    return Found == Item.Holders.end()
               ? std::string()
               : chooseQuotaHolder(Found->second, Workspace.Name);
  }

  /// Transfers tokens as QuotaExchange does.
  void exchangeTokens(const SteeringWorkspace &Workspace) {
    const Clock::time_point Now = Clock::now();
    for (Node &Item : this->Nodes) {
      if (Now < Item.NextExchange || !this->useShare(Item))
        continue;
      Item.NextExchange = Now + std::chrono::milliseconds(250);
      Item.Holders.clear();
      for (std::size_t Index = 0; Index < this->Regions; ++Index)
        for (const MemberRecord *Record :
             Item.View->quotaHolders(regionOf(Index)))
          Item.Holders[regionOf(Index)].push_back(Record->Name);
      std::string Name = this->holderOf(Item, Item.Region, Workspace);
      QuotaRole Role = QuotaRole::Independent;
      if (!Name.empty())
        Role = Name == Item.Name ? QuotaRole::Holder : QuotaRole::Member;
      Item.Quotas.setRole(Workspace, Role, Item.Region, *Item.View, Bounds,
                          Now);
      if (Role == QuotaRole::Holder)
        Name = this->holderOf(Item,
                              Item.View->largestDeficitRegion(
                                  Workspace.Name, Workspace.Rate, Item.Region),
                              Workspace);
      Node *Receiver = this->find(Name);
      if (!Receiver || !this->canReachPeer(Item, *Receiver))
        continue;
      const MicroRequests Tokens =
          Role == QuotaRole::Holder
              ? Item.Quotas.takeHolderSurplus(Workspace.Name, Now)
              : Item.Quotas.takeMemberSurplus(Workspace.Name, Now);
      if (Now < Receiver->PausedUntil)
        Receiver->Unread += Tokens;
      else if (this->useShare(*Receiver))
        Receiver->Quotas.deposit(Workspace.Name,
                                 Tokens + std::exchange(Receiver->Unread, 0));
      else
        Receiver->Unread = 0;
    }
  }

  /// Admits a request at one instance, which requests tokens from the holder if
  /// its own are used up.
  bool admit(const SteeringWorkspace &Workspace, Node &At) {
    const Clock::time_point Now = Clock::now();
    if (!this->useShare(At))
      return false;
    if (At.Quotas.acquire(Workspace, *At.View, Bounds, Now) ==
        Clock::duration::zero())
      return true;
    Node *Holder = this->find(this->holderOf(At, At.Region, Workspace));
    if (!Holder || Holder == &At || !this->canReachPeer(At, *Holder) ||
        !this->useShare(*Holder))
      return false;
    const QuotaGrant Grant = Holder->Quotas.grant(
        Workspace.Name, At.Quotas.batchSize(Workspace.Name, Now), Now);
    if (Grant.Amount < OneRequest)
      return false;
    At.Quotas.deposit(Workspace.Name, Grant.Amount - OneRequest);
    return true;
  }

  /// Injects one random fault, which may affect several instances.
  void injectRandomFault() {
    const Clock::time_point Now = Clock::now();
    const auto Pick = [&] {
      return std::uniform_int_distribution<std::size_t>(0, this->Nodes.size() -
                                                               1)(this->Random);
    };
    const auto Time = [&](int MinMs, int MaxMs) {
      return std::chrono::milliseconds(
          std::uniform_int_distribution<>(MinMs, MaxMs)(this->Random));
    };
    switch (std::uniform_int_distribution<>(0, 6)(this->Random)) {
    case 0:
      for (std::size_t Count = 0; Count < this->Nodes.size() / 3; ++Count) {
        Node &Item = this->Nodes[Pick()];
        Item.StoreCutUntil = Now + Time(2000, 9000);
        if (std::uniform_int_distribution<>(0, 1)(this->Random))
          Item.PeersCutUntil = Item.StoreCutUntil;
      }
      break;
    case 1:
      for (std::size_t Count = 0; Count < this->Nodes.size() / 2; ++Count)
        this->restart(Pick(), Time(100, 3000));
      break;
    case 2: {
      const std::size_t Gone = Pick();
      this->Rows.erase(this->Nodes[Gone].Name);
      this->restart(Gone, Time(100, 1000));
      this->Nodes[Gone].Name += "x";
      break;
    }
    case 3:
      this->Nodes[Pick()].PausedUntil = Now + Time(500, 8000);
      break;
    case 4:
      this->StoreDownUntil = Now + Time(1000, 6000);
      break;
    case 5:
      this->ReadOnlyUntil = Now + Time(1000, 8000);
      break;
    default:
      for (std::size_t Index = 0; Index < this->Nodes.size(); ++Index)
        this->restart(Index, Time(100, 2500));
      break;
    }
  }

  Node *find(const std::string &Name) {
    for (Node &Item : this->Nodes)
      if (Item.Name == Name)
        return &Item;
    return nullptr;
  }

  std::mt19937 Random;
  std::vector<Node> Nodes;

private:
  static std::string regionOf(std::size_t Index) {
    return Index == 0 ? "r" : "r" + std::to_string(Index);
  }

  void start(std::size_t Index) {
    Node &Item = this->Nodes[Index];
    if (Item.Name.empty())
      Item.Name = "i" + std::to_string(Index);
    Node Fresh;
    Fresh.Name = Item.Name;
    Fresh.Region = regionOf(Index % this->Regions);
    Fresh.DownUntil = Item.DownUntil;
    Fresh.StoreCutUntil = Item.StoreCutUntil;
    Fresh.View.emplace(Fresh.Name);
    Item = std::move(Fresh);
  }

  void restart(std::size_t Index, Clock::duration Down) {
    this->Nodes[Index].DownUntil = Clock::now() + Down;
    this->start(Index);
  }

  bool canReachPeer(const Node &Left, const Node &Right) const {
    const Clock::time_point Now = Clock::now();
    return &Left != &Right && Now >= Left.DownUntil && Now >= Right.DownUntil &&
           Now >= std::max(Left.PeersCutUntil, Right.PeersCutUntil);
  }

  bool canReachStore(const Node &Item) const {
    return Clock::now() >= std::max(Item.StoreCutUntil, this->StoreDownUntil);
  }

  void stepNode(Node &Item) {
    const Clock::time_point Now = Clock::now();
    if (Now < Item.DownUntil || Now < Item.PausedUntil)
      return;
    if (!Item.View || Item.View->records().empty())
      Item.View.emplace(Item.Name);
    if (this->canReachStore(Item)) {
      // A poll for orders ends every 2.2 s at the latest.
      if (Now >= Item.LastStoreContactAt + std::chrono::milliseconds(2200))
        Item.LastStoreContactAt = Now;
      if (Now >= Item.NextRead)
        this->read(Item);
      if (Item.HasRead && Now >= this->ReadOnlyUntil &&
          (Now >= Item.NextWrite || Item.Eligibility.isExpired(Now) ||
           (Item.Joining && Item.Eligibility.mayUseShare(Now))))
        this->write(Item);
    }
    if (Item.HasRead && Now - Item.ReadAt < std::chrono::milliseconds(3500))
      Item.View->setStoreTime(Item.ReadStoreTime + (Now - Item.ReadAt));
  }

  void read(Node &Item) {
    const Clock::time_point Now = Clock::now();
    Item.View->recordRead(Now.time_since_epoch(),
                          !Item.HasRead || Now - Item.ReadAt >
                                               std::chrono::milliseconds(2600));
    const auto Own = this->Rows.find(Item.Name);
    if (!Item.HasRead && Own != this->Rows.end())
      Item.Eligibility.recordExistingRow(
          Now.time_since_epoch() - Own->second.WrittenAt, Now);
    Item.View->clear();
    for (const auto &Row : this->Rows)
      Item.View->apply(Row.second);
    Item.ReadAt = Clock::now();
    Item.ReadStoreTime = Clock::now().time_since_epoch();
    // The next read comes sooner after the first one, since the others write
    // their rows soon.
    Item.NextRead =
        Clock::now() + (Item.HasRead ? std::chrono::milliseconds(2000)
                                     : std::chrono::milliseconds(800));
    Item.HasRead = true;
  }

  void write(Node &Item) {
    if (Item.Eligibility.isExpired(Clock::now()))
      Item.View->restartStoreContact();
    MemberRecord Record = testMember(Item.Name, Item.Region + "-a",
                                     Clock::now().time_since_epoch());
    Record.Joining = Item.Joining =
        !Item.Eligibility.mayUseShare(Clock::now()) &&
        Item.View->isForgottenByOthers();
    Record.StoreContactSince = Item.View->storeContactSince();
    Record.Demand = Item.Quotas.demand(Clock::now());
    Record.PeerAddress = "10.0.1.1:1";
    this->Rows[Item.Name] = Record;
    Item.Eligibility.recordWrite(Clock::now(), Clock::now(),
                                 Item.View->isForgottenByOthers());
    Item.NextWrite = Clock::now() + std::chrono::milliseconds(2400);
  }

  std::size_t Regions;
  std::map<std::string, MemberRecord> Rows;
  Clock::time_point StoreDownUntil{};
  Clock::time_point ReadOnlyUntil{};
};

} // namespace rr

#endif // REDWINGRACK_STEERING_FAULTINJECTIONFLEET_H
