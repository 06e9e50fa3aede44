#include "steering/MoveRule.h"
#include "steering/VersionSteering.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <random>
#include <vector>

using namespace rr;
using namespace std::chrono_literals;

namespace {

constexpr Clock::duration Step = 10ms;
constexpr Clock::duration TablePeriod = 500ms;
/// Requests of an instance are counted again this long after its fault.
constexpr Clock::duration ContactTime = 4s;
const VersionOrder Order{"stock", "v2", 16s};

/// How the new version fails.
struct Defect {
  double FailurePart = 0;
  /// Time after the order in which the version does not fail.
  Clock::duration Healthy{0};
  /// Delay until a failure is observed, as with a slow version.
  Clock::duration FailureTime{0};
};

/// Simulates instances that move one service to a bad version and exchange
/// rows, while some lose the store, restart or are suspended.
class RolloutFleet {
public:
  RolloutFleet(unsigned Seed, std::size_t Size, Defect Fault)
      : Random(Seed), Fault(Fault), Nodes(Size) {
    Clock::pause();
    this->Begin = Clock::now();
    for (std::size_t Index = 0; Index < Size; ++Index) {
      this->Nodes[Index].Name = "i" + std::to_string(Index);
      this->begin(this->Nodes[Index]);
    }
  }
  ~RolloutFleet() { Clock::resume(); }

  void step() {
    Clock::advance(Step);
    while (!this->Running.empty() && this->Running.front().At <= Clock::now()) {
      this->endRequest(this->Running.front());
      this->Running.pop_front();
    }
    for (Node &Item : this->Nodes)
      this->stepNode(Item);
    // Two requests per 10 ms, at random instances.
    for (int Index = 0; Index < 2; ++Index)
      this->request(this->Nodes[std::uniform_int_distribution<std::size_t>(
          0, this->Nodes.size() - 1)(this->Random)]);
  }

  void injectRandomFault() {
    Node &Item = this->Nodes[std::uniform_int_distribution<std::size_t>(
        0, this->Nodes.size() - 1)(this->Random)];
    const auto Time = std::chrono::milliseconds(
        std::uniform_int_distribution<>(500, 6000)(this->Random));
    const Clock::time_point Now = Clock::now();
    switch (std::uniform_int_distribution<>(0, 2)(this->Random)) {
    case 0:
      Item.StoreCutUntil = Now + Time;
      break;
    case 1:
      Item.PausedUntil = Now + Time;
      break;
    default:
      Item.Versions = VersionSteering();
      this->begin(Item);
      Item.NextTable = Now + 300ms;
      break;
    }
    Item.TroubleUntil = std::max({Now, Item.StoreCutUntil, Item.PausedUntil});
  }

  int All = 0;
  int Exposed = 0;
  /// Requests to the new version long after it was known to be bad.
  int Late = 0;

private:
  struct Node {
    std::string Name;
    VersionSteering Versions;
    Clock::time_point NextTable{};
    Clock::time_point StoreCutUntil{};
    Clock::time_point PausedUntil{};
    Clock::time_point TroubleUntil{};
  };

  void begin(Node &Item) {
    Item.Versions.updatePresentVersions({"v1"}, Clock::now());
    Item.Versions.setOrder(Order, {"v1", "v2"});
  }

  struct Result {
    Clock::time_point At;
    Node *Where;
    bool New;
    bool Failed;
  };

  void endRequest(const Result &End) {
    End.Where->Versions.record("a", End.New ? "v2" : "v1", End.Failed, false,
                               Clock::now());
    this->BadAnswers += End.New && End.Failed ? 1 : 0;
    if (this->BadAnswers >= 50 && !this->KnownBadAt)
      this->KnownBadAt = Clock::now();
  }

  bool isInContact(const Node &Item) const {
    return Clock::now() >= Item.TroubleUntil + ContactTime;
  }

  void stepNode(Node &Item) {
    const Clock::time_point Now = Clock::now();
    if (Now < Item.PausedUntil || Now < Item.StoreCutUntil ||
        Now < Item.NextTable)
      return;
    Item.NextTable = Now + TablePeriod;
    if (this->Move)
      Item.Versions.adoptMove(*this->Move);
    for (const auto &[Name, Report] : this->Reports)
      if (Name != Item.Name)
        Item.Versions.observe(Name, Report, Now);
    if (const auto Own = Item.Versions.report())
      this->Reports[Item.Name] = *Own;
    this->advance(Item);
  }

  void advance(const Node &Item) {
    const Clock::duration StoreTime = Clock::now() - this->Begin;
    const bool IsLeader = &Item == &this->Nodes.front();
    if (!this->Move) {
      if (IsLeader)
        this->Move = beginMove(Order, std::nullopt, {"v1", "v2"}, StoreTime);
      return;
    }
    if (this->Move->State != VersionMove::Phase::Running ||
        (!IsLeader && !Item.Versions.isStopped()))
      return;
    MoveEvidence Evidence;
    Evidence.TargetBad = Item.Versions.isStopped();
    Evidence.TargetSuspect = Item.Versions.isSuspect();
    Evidence.TargetRequests = Item.Versions.candidateRequests();
    Evidence.ReadyServers = 4;
    Evidence.StoreTime = StoreTime;
    for (const auto &Entry : this->Reports)
      Evidence.Reports.push_back(Entry.second);
    if (const auto Next = advanceMove(*this->Move, Evidence))
      this->Move = *Next;
  }

  void request(Node &Item) {
    const Clock::time_point Now = Clock::now();
    if (Now < Item.PausedUntil)
      return;
    ++this->All;
    const auto Choice = Item.Versions.choose("a", Now);
    const bool New = Choice.Only == "v2";
    const double Part = New && Now >= this->Begin + this->Fault.Healthy
                            ? this->Fault.FailurePart
                            : 0.001;
    const bool Failed = std::uniform_real_distribution<>()(this->Random) < Part;
    if (New && this->isInContact(Item)) {
      ++this->Exposed;
      if (this->KnownBadAt && Now > *this->KnownBadAt + 5s)
        ++this->Late;
    }
    const Result End{Now + this->Fault.FailureTime, &Item, New, Failed};
    if (Failed && New && this->Fault.FailureTime > Clock::duration::zero())
      this->Running.push_back(End);
    else
      this->endRequest(End);
  }

  std::mt19937 Random;
  Defect Fault;
  std::vector<Node> Nodes;
  Clock::time_point Begin;
  std::optional<VersionMove> Move;
  std::map<std::string, MoveReport> Reports;
  std::deque<Result> Running;
  int BadAnswers = 0;
  std::optional<Clock::time_point> KnownBadAt;
};

} // namespace

// Guards against a bad version that receives more than its share of requests
// from connected instances, because the counts are spread over them or some of
// them missed its rollback.
TEST_CASE("A bad version is not exposed while instances are cut off, restarted "
          "and paused",
          "[faults]") {
  const unsigned Seed = GENERATE(range(1U, 31U));
  const std::size_t Size = GENERATE(3U, 12U);
  const Defect Fault =
      GENERATE(Defect{0.25, 0s, 0s}, Defect{1, 0s, 0s}, Defect{0.5, 6s, 0s},
               Defect{0.3, 0s, 2500ms}, Defect{0.5, 6s, 2500ms});
  RolloutFleet Fleet(Seed, Size, Fault);
  for (int Index = 0; Index < 1600; ++Index) {
    Fleet.step();
    if (Index % 250 == 249)
      Fleet.injectRandomFault();
  }
  CAPTURE(Seed, Size, Fault.FailurePart, Fleet.All, Fleet.Exposed, Fleet.Late);
  CHECK(Fleet.Exposed <= Fleet.All / 10 + 50);
  CHECK(Fleet.Late == 0);
}
