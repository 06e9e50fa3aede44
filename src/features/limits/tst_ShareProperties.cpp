#include "limits/ShareAllocator.h"
#include "limits/ShareLedger.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <rapidcheck.h>

using namespace rr;
using namespace std::chrono_literals;

namespace {

// RapidCheck reads its parameters at the first check. Set in the environment,
// other ones apply, for example "noshrink=1".
const int Seeded = setenv("RC_PARAMS", "seed=20261 max_success=3000", 0);

constexpr std::size_t Count = 4;
constexpr std::size_t StepCount = 500;

/// What the fleet may admit from a time on. An allowance that was replaced by
/// a lower one counts until every proof from before the change has lapsed.
struct Allowance {
  double From;
  double Rate;
  double Burst;
};

/// Checks every window between two admissions by counting, in doubles and
/// without any bucket.
class WindowCheck {
public:
  void allow(double From, double Rate, double Burst) {
    this->Allowances.push_back({From, Rate, Burst});
  }
  void admitted(double At) { this->Admissions.push_back(At); }

  bool holds() const {
    for (std::size_t First = 0; First < this->Admissions.size(); ++First) {
      double Budget = this->atTime(this->Admissions[First]).Burst;
      for (std::size_t Last = First; Last < this->Admissions.size(); ++Last) {
        if (Last > First)
          Budget +=
              this->granted(this->Admissions[Last - 1], this->Admissions[Last]);
        if (double(Last - First + 1) > Budget + 1e-6)
          return false;
      }
    }
    return true;
  }

private:
  Allowance atTime(double Time) const {
    Allowance Result{Time, 0, 0};
    for (std::size_t I = 0; I < this->Allowances.size(); ++I) {
      const bool Replaced = I + 1 < this->Allowances.size() &&
                            this->Allowances[I + 1].From + 4 <= Time;
      if (this->Allowances[I].From > Time || Replaced)
        continue;
      Result.Rate = std::max(Result.Rate, this->Allowances[I].Rate);
      Result.Burst = std::max(Result.Burst, this->Allowances[I].Burst);
    }
    return Result;
  }

  double granted(double From, double To) const {
    std::vector<double> Edges{From, To};
    for (const Allowance &Each : this->Allowances)
      for (const double Edge : {Each.From, Each.From + 4})
        if (Edge > From && Edge < To)
          Edges.push_back(Edge);
    std::sort(Edges.begin(), Edges.end());
    double Sum = 0;
    for (std::size_t I = 1; I < Edges.size(); ++I)
      Sum += this->atTime(Edges[I - 1]).Rate * (Edges[I] - Edges[I - 1]);
    return Sum;
  }

  std::vector<Allowance> Allowances;
  std::vector<double> Admissions;
};

struct Instance {
  ShareLedger Ledger;
  /// A read of the control state that is under way.
  std::optional<std::pair<Clock::time_point, std::size_t>> Read;
  DemandReport LastReport;
};

/// A fleet in which everything that can go wrong is one step of the test.
class World {
public:
  explicit World(bool Reconfigures) : Reconfigures(Reconfigures) {
    for (std::size_t I = 0; I < Count; ++I)
      this->Instances.push_back(
          {ShareLedger({std::to_string(I), 1}, this->Now), {}, {}});
    this->writeEpoch(0);
  }

  void step(int Kind, std::size_t From, std::size_t To, int Value) {
    Instance &Giver = this->Instances[From];
    if (Kind < 12)
      this->admit(Giver, Value);
    else if (Kind < 28)
      this->admitEverywhere();
    else if (Kind < 64)
      this->Now += std::chrono::milliseconds(Value * Value);
    else if (Kind < 70)
      this->finishRead(Giver);
    else if (Kind < 74)
      Giver.Read = {this->Now, this->Epochs.size() - 1};
    else if (Kind < 104)
      this->readReachable();
    else if (Kind < 106)
      this->CutOff = unsigned(Value);
    else if (Kind < 126)
      this->move(Giver, this->Instances[To], Value);
    else if (Kind < 146)
      this->lend(Giver, this->Instances[To], Value);
    else if (Kind < 182)
      this->deliver(std::size_t(Value), Kind % 2 == 0);
    else if (Kind < 184)
      this->restart(Giver);
    else if (Kind < 193)
      this->report(Giver);
    else if (Kind < 197)
      this->list();
    else
      this->writeEpoch(Value);
  }

  bool holds() const { return this->Windows.holds(); }

private:
  double seconds() const {
    return std::chrono::duration<double>(this->Now.time_since_epoch()).count();
  }

  void admit(Instance &Where, int Attempts) {
    for (int I = 0; I < Attempts; ++I)
      if (Where.Ledger.tryAdmit("w", this->Now))
        this->Windows.admitted(this->seconds());
  }

  void admitEverywhere() {
    for (Instance &Each : this->Instances)
      this->admit(Each, 40);
  }

  /// Lets every instance that is not cut off see the present epoch.
  void readReachable() {
    for (std::size_t I = 0; I < Count; ++I)
      if ((this->CutOff >> I) % 2 == 0) {
        this->Instances[I].Read = {this->Now, this->Epochs.size() - 1};
        this->finishRead(this->Instances[I]);
      }
  }

  void finishRead(Instance &Where) {
    if (!Where.Read)
      return;
    const ShareAllocation &Row = this->Epochs[Where.Read->second];
    (void)Where.Ledger.adopt(Row, this->Now);
    Where.Ledger.renewProof(Row.Epoch, Where.Read->first + FreshnessLimit,
                            this->Now);
    Where.Read.reset();
    if (this->isAcknowledged())
      Where.Ledger.confirmBarrier(Row.Epoch, this->Now);
  }

  bool isAcknowledged() const {
    if (this->Epochs.size() < 2)
      return true;
    std::map<ShareHolder, std::uint64_t> Adopted;
    for (const Instance &Each : this->Instances)
      Adopted[Each.Ledger.self()] = Each.Ledger.epoch();
    return decreasesAcknowledged(*(this->Epochs.rbegin() + 1),
                                 this->Epochs.back().Epoch, Adopted,
                                 this->Ended);
  }

  void move(Instance &From, const Instance &To, int Value) {
    const MicroRequests Wanted = Value * OneRequest / 4;
    const ShareRelease Request{From.Ledger.self(),  To.Ledger.self(),
                               From.Ledger.epoch(), "w",
                               {Wanted, Wanted, 0}, {}};
    if (const auto Grant = From.Ledger.release(Request, this->Now))
      this->Travelling.push_back(*Grant);
  }

  void lend(Instance &From, const Instance &To, int Value) {
    const BorrowRequest Request{To.Ledger.self(),       From.Ledger.self(),
                                From.Ledger.epoch(),    "w",
                                Value * OneRequest / 4, 0};
    const auto Grant = Value % 4 == 3
                           ? From.Ledger.giveBack("w", To.Ledger.self(),
                                                  Request.Wanted, this->Now)
                           : From.Ledger.lend(Request, 0, false, this->Now);
    if (Grant)
      this->Travelling.push_back(*Grant);
  }

  /// Delivers some travelling grant to the present run of its receiver. It
  /// stays for a later repetition unless \p Remove.
  void deliver(std::size_t Which, bool Remove) {
    if (this->Travelling.empty())
      return;
    const auto Found = this->Travelling.end() - 1 -
                       std::ptrdiff_t(Which % std::min<std::size_t>(
                                                  this->Travelling.size(), 6));
    for (Instance &Each : this->Instances)
      if (Each.Ledger.self().Instance == Found->To.Instance)
        Each.Ledger.receive(*Found, this->Now);
    if (Remove)
      this->Travelling.erase(Found);
  }

  void restart(Instance &Where) {
    ShareHolder Self = Where.Ledger.self();
    this->Ended.insert(Self);
    ++Self.Incarnation;
    Where = {ShareLedger(Self, this->Now), {}, {}};
  }

  /// Lists the present run of every instance in a revision of the epoch.
  void list() {
    std::vector<AllocationMember> Members;
    for (const Instance &Each : this->Instances)
      Members.push_back({Each.Ledger.self(), std::nullopt});
    this->Epochs.back() = addHolders(this->Epochs.back(), 1, Members);
  }

  void report(Instance &Where) {
    Where.LastReport = {Where.Ledger.self(), "z", "r", Where.Ledger.epoch(),
                        Where.Ledger.report(this->Now)};
  }

  void writeEpoch(int Value) {
    if (!this->Epochs.empty() && this->Now < this->Written + 4s)
      return;
    const double Rate = Value < 30 || !this->Reconfigures ? 8
                        : Value % 2 == 0                  ? 4
                                                          : 16;
    const double Burst = Value < 35 || !this->Reconfigures ? 4 : 8;
    std::vector<AllocationMember> Members;
    for (std::size_t I = 0; I < Count; ++I)
      if (Value % 7 != int(I)) {
        const Instance &Each = this->Instances[I];
        Members.push_back({Each.Ledger.self(), std::nullopt});
        if (Each.LastReport.Holder == Each.Ledger.self())
          Members.back().Report = Each.LastReport;
      }
    this->Epochs.push_back(makeAllocation(
        this->Epochs.empty() ? nullptr : &this->Epochs.back(), 1,
        {{"w", {toMicroRequests(Rate), toMicroRequests(Burst), 0}}}, Members));
    this->Written = this->Now;
    this->Windows.allow(this->seconds(), Rate, Burst);
  }

  bool Reconfigures;
  Clock::time_point Now{};
  Clock::time_point Written{};
  std::vector<Instance> Instances;
  std::vector<ShareAllocation> Epochs;
  std::vector<ShareGrant> Travelling;
  std::set<ShareHolder> Ended;
  /// A bit for each instance that cannot reach the store.
  unsigned CutOff = 0;
  WindowCheck Windows;
};

} // namespace

// Guards against over-admission by any order of transfers, losses, repetitions,
// restarts, pauses, partitions, late reads, epochs and rate changes.
TEST_CASE("No window admits more than rate x time + burst") {
  REQUIRE(Seeded == 0);
  CHECK(rc::check([] {
    // The full range at every size; RapidCheck would begin with small steps.
    const auto Steps = *rc::gen::container<std::vector<std::uint32_t>>(
        StepCount,
        rc::gen::resize(rc::kNominalSize,
                        rc::gen::inRange<std::uint32_t>(0, 128'000)));
    // Half of the runs keep the allowance, which makes the bound tighter.
    World Fleet(Steps[0] % 2 == 0);
    for (const std::uint32_t Step : Steps)
      Fleet.step(int(Step % 200), Step / 200 % Count, Step / 800 % Count,
                 int(Step / 3200 % 40));
    RC_ASSERT(Fleet.holds());
  }));
}
