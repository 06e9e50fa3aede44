#include "steering/FaultInjectionFleet.h"
#include "steering/RetryAllowance.h"
#include "steering/StableHash.h"
#include "steering/SteeringTestBed.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace rr;
using namespace std::chrono_literals;

namespace {

/// Maximum count in any window of a given length.
class SlidingWindowMax {
public:
  explicit SlidingWindowMax(Clock::duration Window) : Window(Window) {}

  void add(int Count) {
    this->Counts.emplace_back(Clock::now(), Count);
    this->Sum += Count;
    while (this->Counts.front().first + this->Window <= Clock::now()) {
      this->Sum -= this->Counts.front().second;
      this->Counts.pop_front();
    }
    this->Max = std::max(this->Max, this->Sum);
  }
  int max() const { return this->Max; }

private:
  Clock::duration Window;
  std::deque<std::pair<Clock::time_point, int>> Counts;
  int Sum = 0;
  int Max = 0;
};

} // namespace

// Guards against shares that are used twice: by an instance without the store
// and by those that took over its share, or by two runs of one instance.
TEST_CASE("A workspace stays within its rate while instances are cut off, "
          "restarted, replaced and paused",
          "[faults]") {
  const unsigned Seed = GENERATE(range(1U, 41U));
  const std::size_t Size = GENERATE(3U, 12U);
  FaultInjectionFleet Fleet(Seed, Size);
  SteeringWorkspace Workspace;
  Workspace.Name = "w";
  Workspace.Rate = 200;
  Workspace.Burst = 200;
  SlidingWindowMax Admitted(5s);
  for (int Index = 0; Index < 4000; ++Index) {
    Fleet.step();
    if (Index % 250 == 249)
      Fleet.injectRandomFault();
    int Count = 0;
    // The load exceeds the rate at every instance, so that each share is used
    // up.
    const int Offered = 400 / int(Size) / 50;
    for (FaultInjectionFleet::Node &Node : Fleet.Nodes)
      for (int Request = 0; Request < Offered + 1; ++Request)
        if (Fleet.serves(Node) &&
            Node.Quotas.acquire(Workspace, *Node.View,
                                FaultInjectionFleet::Bounds,
                                Clock::now()) == Clock::duration::zero())
          ++Count;
    Admitted.add(Count);
  }
  CAPTURE(Seed, Size, Admitted.max());
  CHECK(Admitted.max() <= (200 * 5 + 200) * 1.1 + 20);
}

// Guards against transferred tokens that are used twice: by two instances that
// both act as the holder, or by a holder that loses the store while it has the
// tokens of others. Bursts follow pauses in which tokens accumulate.
TEST_CASE("A workspace stays within its rate while instances that transfer "
          "tokens are cut off, restarted, replaced and paused",
          "[faults]") {
  const unsigned Seed = GENERATE(range(1U, 81U));
  const std::size_t Size = GENERATE(3U, 12U);
  FaultInjectionFleet Fleet(Seed, Size);
  SteeringWorkspace Workspace;
  Workspace.Name = "w";
  Workspace.Rate = 200;
  Workspace.Burst = 200;
  SlidingWindowMax Admitted(5s);
  for (int Index = 0; Index < 4000; ++Index) {
    Fleet.step();
    Fleet.exchangeTokens(Workspace);
    if (Index % 250 == 249)
      Fleet.injectRandomFault();
    int Count = 0;
    const bool Saving = Seed % 2 == 0 && Index % 500 < 200;
    const int Offered = Saving ? 0 : 400 / int(Size) / 50 + 1;
    for (FaultInjectionFleet::Node &Node : Fleet.Nodes)
      for (int Request = 0; Request < Offered; ++Request)
        if (Fleet.serves(Node) && Fleet.admit(Workspace, Node))
          ++Count;
    Admitted.add(Count);
  }
  CAPTURE(Seed, Size, Admitted.max());
  CHECK(Admitted.max() <= (200 * 5 + 200) * 1.1 + 20);
}

// Guards against too many senders to a cold server when instances disagree on
// which of them are selected.
TEST_CASE("A cold server is not overloaded while instances are cut off, "
          "restarted, replaced and paused",
          "[faults]") {
  const unsigned Seed = GENERATE(range(1U, 41U));
  FaultInjectionFleet Fleet(Seed, 12);
  BackendState Server;
  Server.Record = testBackend("cold", "r-a");
  Server.Hash = stableHash("cold");
  SlidingWindowMax Sent(1s);
  for (int Index = 0; Index < 4000; ++Index) {
    Fleet.step();
    if (Index % 250 == 249)
      Fleet.injectRandomFault();
    int Count = 0;
    for (FaultInjectionFleet::Node &Node : Fleet.Nodes)
      if (Fleet.serves(Node) &&
          Node.ColdServers.tryTake(Server, 10, *Node.View, Clock::now()))
        ++Count;
    Sent.add(Count);
  }
  CAPTURE(Seed, Sent.max());
  CHECK(Sent.max() <= 10 * 1.5 + 5);
}

// Guards against retries beyond the fleet-wide budget when each instance starts
// with few others known.
TEST_CASE("Retries of all instances stay within the budget while instances "
          "are cut off, restarted, replaced and paused",
          "[faults]") {
  const unsigned Seed = GENERATE(range(1U, 41U));
  const std::size_t Size = GENERATE(3U, 12U);
  constexpr double Ratio = 0.2;
  constexpr double Extra = 64;
  FaultInjectionFleet Fleet(Seed, Size);
  std::deque<std::pair<int, int>> Counts;
  double Worst = 0;
  int RequestSum = 0;
  int RetrySum = 0;
  for (int Index = 0; Index < 4000; ++Index) {
    Fleet.step();
    if (Index % 250 == 249)
      Fleet.injectRandomFault();
    // A burst of failures follows a period of low traffic in which every
    // instance accumulates its full share.
    const bool Failing = Index > 3700;
    const bool Arrives = Index % 10 == 0;
    int Sent = 0;
    int Again = 0;
    for (FaultInjectionFleet::Node &Node : Fleet.Nodes) {
      if (!Fleet.serves(Node))
        continue;
      applyRetryAllowance(Node.Retries, {Ratio, Extra}, *Node.View);
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
