#include "retry/RetryBudget.h"
#include "steering/ColdGate.h"
#include "steering/MemberView.h"
#include "steering/QuotaGate.h"
#include "steering/RetryReserve.h"
#include "steering/ShareTenure.h"
#include "steering/StableHash.h"
#include "steering/SteeringTestBed.h"

#include <catch2/catch.hpp>

#include <deque>
#include <optional>
#include <random>

using namespace rr;
using namespace std::chrono_literals;

namespace {

const QuotaBounds Bounds{5s, 0.1, 20};
constexpr Clock::duration Step = 10ms;
constexpr Clock::duration RevocationTime = 5s;
constexpr Clock::duration RevocationMargin = 400ms;

/// Instances that meet through the rows of a store, at the pace of the real
/// ones, while faults come at random: instances are cut from the store, stop
/// and start, are replaced by others, or stand still; the store goes away or
/// takes no writes.
class FaultyFleet {
public:
  FaultyFleet(unsigned Seed, std::size_t Size) : Random(Seed) {
    Clock::pause();
    this->Nodes.resize(Size);
    for (std::size_t Index = 0; Index < Size; ++Index)
      this->start(Index);
    this->advance(4s);
  }
  ~FaultyFleet() { Clock::resume(); }

  struct Node {
    std::string Name;
    std::optional<MemberView> View;
    QuotaGate Quotas;
    ColdGate ColdServers;
    RetryBudget Retries;
    Clock::time_point NextRead{};
    Clock::time_point NextWrite{};
    Clock::time_point ReadAt{};
    Clock::duration ReadStoreTime{0};
    Clock::time_point ProvenAt{};
    ShareTenure Tenure;
    Clock::time_point CutUntil{};
    /// Other instances cannot be reached either.
    Clock::time_point AloneUntil{};
    Clock::time_point NextPass{};
    std::vector<std::string> Holders;
    Clock::time_point PausedUntil{};
    Clock::time_point DownUntil{};
    bool Known = false;
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

  /// Whether the instance serves requests with a key now.
  bool serves(const Node &Item) const {
    const Clock::time_point Now = Clock::now();
    return Item.Known && Now >= Item.DownUntil && Now >= Item.PausedUntil &&
           Item.Tenure.holds(Now) &&
           Now < Item.ProvenAt + RevocationTime - RevocationMargin;
  }

  /// Passes tokens on as QuotaExchange does.
  void exchangeTokens(const SteeringWorkspace &Workspace) {
    const Clock::time_point Now = Clock::now();
    for (Node &Item : this->Nodes) {
      if (!this->serves(Item) || Now < Item.NextPass)
        continue;
      Item.NextPass = Now + 250ms;
      Item.Holders.clear();
      for (const MemberRecord *Record : Item.View->quotaHolders("r"))
        Item.Holders.push_back(Record->Name);
      const std::string Name = holderOf(Item, Workspace);
      QuotaRole Role = QuotaRole::Independent;
      if (!Name.empty())
        Role = Name == Item.Name ? QuotaRole::Holder : QuotaRole::Member;
      Item.Quotas.setRole(Workspace, Role, "r", *Item.View, Bounds, Now);
      Node *Holder = this->find(Name);
      if (!Holder || !this->isLinked(Item, *Holder))
        continue;
      const MicroRequests Tokens = Item.Quotas.surrender(Workspace.Name, Now);
      if (Now >= Holder->PausedUntil)
        Holder->Quotas.deposit(Workspace.Name, Tokens);
    }
  }

  /// Takes a request at one instance, which asks the holder if need be.
  bool admit(const SteeringWorkspace &Workspace, Node &At) {
    const Clock::time_point Now = Clock::now();
    if (At.Quotas.take(Workspace, *At.View, Bounds, Now) ==
        Clock::duration::zero())
      return true;
    Node *Holder = this->find(holderOf(At, Workspace));
    if (!Holder || Holder == &At || !this->isLinked(At, *Holder) ||
        !this->serves(*Holder))
      return false;
    const QuotaGrant Grant = Holder->Quotas.lend(
        Workspace.Name, At.Quotas.batch(Workspace.Name, Now), Now);
    if (Grant.Amount < OneRequest)
      return false;
    At.Quotas.deposit(Workspace.Name, Grant.Amount - OneRequest);
    return true;
  }

  /// One random fault; some of them are several at once.
  void breakSomething() {
    const Clock::time_point Now = Clock::now();
    const auto Pick = [&] {
      return std::uniform_int_distribution<std::size_t>(0, this->Nodes.size() -
                                                               1)(this->Random);
    };
    const auto Time = [&](int Least, int Most) {
      return std::chrono::milliseconds(
          std::uniform_int_distribution<>(Least, Most)(this->Random));
    };
    switch (std::uniform_int_distribution<>(0, 6)(this->Random)) {
    case 0:
      for (std::size_t Count = 0; Count < this->Nodes.size() / 3; ++Count) {
        Node &Item = this->Nodes[Pick()];
        Item.CutUntil = Now + Time(2000, 9000);
        if (std::uniform_int_distribution<>(0, 1)(this->Random))
          Item.AloneUntil = Item.CutUntil;
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

  std::mt19937 Random;
  std::vector<Node> Nodes;

private:
  void start(std::size_t Index) {
    Node &Item = this->Nodes[Index];
    if (Item.Name.empty())
      Item.Name = "i" + std::to_string(Index);
    Node Fresh;
    Fresh.Name = Item.Name;
    Fresh.DownUntil = Item.DownUntil;
    Fresh.CutUntil = Item.CutUntil;
    Fresh.View.emplace(Fresh.Name);
    Item = std::move(Fresh);
  }

  void restart(std::size_t Index, Clock::duration Down) {
    this->Nodes[Index].DownUntil = Clock::now() + Down;
    this->start(Index);
  }

  static std::string holderOf(const Node &Item,
                              const SteeringWorkspace &Workspace) {
    std::string Best;
    std::uint64_t BestHash = 0;
    for (const std::string &Name : Item.Holders) {
      const std::uint64_t Hash =
          mixHashes(stableHash(Workspace.Name), stableHash(Name));
      if (Best.empty() || Hash > BestHash) {
        Best = Name;
        BestHash = Hash;
      }
    }
    return Best;
  }

  Node *find(const std::string &Name) {
    for (Node &Item : this->Nodes)
      if (Item.Name == Name)
        return &Item;
    return nullptr;
  }

  bool isLinked(const Node &Left, const Node &Right) const {
    const Clock::time_point Now = Clock::now();
    return &Left != &Right && Now >= Left.DownUntil && Now >= Right.DownUntil &&
           Now >= std::max(Left.AloneUntil, Right.AloneUntil);
  }

  bool reaches(const Node &Item) const {
    return Clock::now() >= std::max(Item.CutUntil, this->StoreDownUntil);
  }

  void stepNode(Node &Item) {
    const Clock::time_point Now = Clock::now();
    if (Now < Item.DownUntil || Now < Item.PausedUntil)
      return;
    if (!Item.View || Item.View->records().empty())
      Item.View.emplace(Item.Name);
    if (this->reaches(Item)) {
      // A poll for orders ends every 2.2 s at the latest.
      if (Now >= Item.ProvenAt + 2200ms)
        Item.ProvenAt = Now;
      if (Now >= Item.NextRead)
        this->read(Item);
      if (Item.Known && Now >= this->ReadOnlyUntil &&
          (Now >= Item.NextWrite || Item.Tenure.isLapsed(Now)))
        this->write(Item);
    }
    if (Item.Known && Now - Item.ReadAt < 3500ms)
      Item.View->setStoreTime(Item.ReadStoreTime + (Now - Item.ReadAt));
  }

  void read(Node &Item) {
    const Clock::time_point Now = Clock::now();
    Item.View->noteRead(Now.time_since_epoch(),
                        !Item.Known || Now - Item.ReadAt > 2600ms);
    const auto Own = this->Rows.find(Item.Name);
    if (!Item.Known && Own != this->Rows.end())
      Item.Tenure.noteFound(Now.time_since_epoch() - Own->second.WrittenAt,
                            Now);
    Item.View->clear();
    for (const auto &Row : this->Rows)
      Item.View->apply(Row.second);
    Item.ReadAt = Clock::now();
    Item.ReadStoreTime = Clock::now().time_since_epoch();
    // Right after the start the others' rows come soon.
    Item.NextRead = Clock::now() + (Item.Known ? 2000ms : 800ms);
    Item.Known = true;
  }

  void write(Node &Item) {
    if (Item.Tenure.isLapsed(Clock::now()))
      Item.View->restartContact();
    MemberRecord Record = testMember(Item.Name, "r-a", Item.View->storeTime());
    Record.ContactSince = Item.View->contactSince();
    Record.Demand = Item.Quotas.demand(Clock::now());
    Record.PeerAddress = "10.0.1.1:1";
    this->Rows[Item.Name] = Record;
    Item.Tenure.noteWritten(Clock::now(), Clock::now(),
                            Item.View->hasDroppedSelf());
    Item.NextWrite = Clock::now() + 2400ms;
  }

  std::map<std::string, MemberRecord> Rows;
  Clock::time_point StoreDownUntil{};
  Clock::time_point ReadOnlyUntil{};
};

/// The most that was counted in any window of a length.
class SlidingMost {
public:
  explicit SlidingMost(Clock::duration Window) : Window(Window) {}

  void add(int Count) {
    this->Counts.emplace_back(Clock::now(), Count);
    this->Sum += Count;
    while (this->Counts.front().first + this->Window <= Clock::now()) {
      this->Sum -= this->Counts.front().second;
      this->Counts.pop_front();
    }
    this->Most = std::max(this->Most, this->Sum);
  }
  int most() const { return this->Most; }

private:
  Clock::duration Window;
  std::deque<std::pair<Clock::time_point, int>> Counts;
  int Sum = 0;
  int Most = 0;
};

} // namespace

// Guards against rates that are used twice: by an instance that is cut off
// and by those that took its part, or by the two runs of one instance.
TEST_CASE("A workspace stays within its rate while instances are cut off, "
          "restarted, replaced and paused",
          "[faults]") {
  const unsigned Seed = GENERATE(range(1U, 41U));
  const std::size_t Size = GENERATE(3U, 12U);
  FaultyFleet Fleet(Seed, Size);
  SteeringWorkspace Workspace;
  Workspace.Name = "w";
  Workspace.Rate = 200;
  Workspace.Burst = 200;
  SlidingMost Admitted(5s);
  for (int Index = 0; Index < 4000; ++Index) {
    Fleet.step();
    if (Index % 250 == 249)
      Fleet.breakSomething();
    int Count = 0;
    // More than the rate everywhere, so that each part is used in full.
    const int Offered = 400 / int(Size) / 50;
    for (FaultyFleet::Node &Node : Fleet.Nodes)
      for (int Request = 0; Request < Offered + 1; ++Request)
        if (Fleet.serves(Node) &&
            Node.Quotas.take(Workspace, *Node.View, Bounds, Clock::now()) ==
                Clock::duration::zero())
          ++Count;
    Admitted.add(Count);
  }
  CAPTURE(Seed, Size, Admitted.most());
  CHECK(Admitted.most() <= (200 * 5 + 200) * 1.1 + 20);
}

// Guards against tokens that are used twice when they are passed on: by two
// instances that both take themselves for the holder, and by a holder that is
// cut off with what the others passed to it. Bursts follow times in which
// tokens can be saved up.
TEST_CASE("A workspace stays within its rate while instances that pass tokens "
          "on are cut off, restarted, replaced and paused",
          "[faults]") {
  const unsigned Seed = GENERATE(range(1U, 81U));
  const std::size_t Size = GENERATE(3U, 12U);
  FaultyFleet Fleet(Seed, Size);
  SteeringWorkspace Workspace;
  Workspace.Name = "w";
  Workspace.Rate = 200;
  Workspace.Burst = 200;
  SlidingMost Admitted(5s);
  for (int Index = 0; Index < 4000; ++Index) {
    Fleet.step();
    Fleet.exchangeTokens(Workspace);
    if (Index % 250 == 249)
      Fleet.breakSomething();
    int Count = 0;
    const bool Saving = Seed % 2 == 0 && Index % 500 < 200;
    const int Offered = Saving ? 0 : 400 / int(Size) / 50 + 1;
    for (FaultyFleet::Node &Node : Fleet.Nodes)
      for (int Request = 0; Request < Offered; ++Request)
        if (Fleet.serves(Node) && Fleet.admit(Workspace, Node))
          ++Count;
    Admitted.add(Count);
  }
  CAPTURE(Seed, Size, Admitted.most());
  CHECK(Admitted.most() <= (200 * 5 + 200) * 1.1 + 20);
}

// Guards against more senders than a cold server bears, when instances
// disagree on who they are.
TEST_CASE("A cold server is not overrun while instances are cut off, "
          "restarted, replaced and paused",
          "[faults]") {
  const unsigned Seed = GENERATE(range(1U, 41U));
  FaultyFleet Fleet(Seed, 12);
  BackendState Server;
  Server.Record = testBackend("cold", "r-a");
  Server.Hash = stableHash("cold");
  SlidingMost Sent(1s);
  for (int Index = 0; Index < 4000; ++Index) {
    Fleet.step();
    if (Index % 250 == 249)
      Fleet.breakSomething();
    int Count = 0;
    for (FaultyFleet::Node &Node : Fleet.Nodes)
      if (Fleet.serves(Node) &&
          Node.ColdServers.take(Server, 10, *Node.View, Clock::now()))
        ++Count;
    Sent.add(Count);
  }
  CAPTURE(Seed, Sent.most());
  CHECK(Sent.most() <= 10 * 1.5 + 5);
}

// Guards against retries beyond the budget of all instances together, when
// each of them started while it knew few others.
TEST_CASE("Retries of all instances stay within the budget while instances "
          "are cut off, restarted, replaced and paused",
          "[faults]") {
  const unsigned Seed = GENERATE(range(1U, 41U));
  const std::size_t Size = GENERATE(3U, 12U);
  constexpr double Ratio = 0.2;
  constexpr double Extra = 64;
  FaultyFleet Fleet(Seed, Size);
  std::deque<std::pair<int, int>> Counts;
  double Worst = 0;
  int RequestSum = 0;
  int RetrySum = 0;
  for (int Index = 0; Index < 4000; ++Index) {
    Fleet.step();
    if (Index % 250 == 249)
      Fleet.breakSomething();
    // Many failures follow a time in which all can save up their part, at a
    // traffic that is low against it.
    const bool Failing = Index > 3700;
    const bool Arrives = Index % 10 == 0;
    int Sent = 0;
    int Again = 0;
    for (FaultyFleet::Node &Node : Fleet.Nodes) {
      if (!Fleet.serves(Node))
        continue;
      applyRetryReserve(Node.Retries, {Ratio, Extra}, *Node.View);
      if (Arrives) {
        Node.Retries.addRequest();
        ++Sent;
      }
      for (int Retry = 0; Failing && Retry < 3; ++Retry)
        Again += Node.Retries.tryTake() ? 1 : 0;
    }
    Counts.emplace_back(Sent, Again);
    RequestSum += Sent;
    RetrySum += Again;
    if (Counts.size() > 1000) {
      RequestSum -= Counts.front().first;
      RetrySum -= Counts.front().second;
      Counts.pop_front();
    }
    Worst = std::max(Worst, RetrySum - Ratio * RequestSum);
  }
  CAPTURE(Seed, Size, Worst);
  CHECK(Worst <= Extra);
}
