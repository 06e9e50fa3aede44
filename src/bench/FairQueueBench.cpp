#include "bench/FairQueueBench.h"

#include "base/Random.h"
#include "bench/EventLoop.h"
#include "bench/LimitsWorkload.h"
#include "limits/FairQueue.h"
#include "limits/TokenBucket.h"

#include <algorithm>
#include <cstdio>

namespace rr {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t Slots = 70;
constexpr auto LeastService = 10ms;
constexpr auto MostService = 30ms;
constexpr auto RequestDeadline = 2s;
constexpr std::size_t QueueLimit = 2000;
/// The workspace that misbehaves: 300 requests a second.
constexpr std::size_t LoudWorkspace = 2;

/// One service with slots, in front of it a queue and the rate limit.
class QueueRun {
public:
  QueueRun(std::uint64_t Seed, bool Fair, bool Limited)
      : Fair(Fair), Limited(Limited), Random(Seed), Queue(QueueLimit) {
    for (std::size_t I = 0; I < BenchWorkspaces; ++I) {
      TokenBucket Bucket(Clock::now());
      Bucket.setRate(toMicroRequests(BenchRates[I]), Clock::now());
      Bucket.setCapacity(toMicroRequests(BenchBursts[I]), Clock::now());
      this->Buckets.push_back(Bucket);
      this->Queue.setWeight(workspaceName(I), BenchRates[I]);
    }
  }

  /// p99 in milliseconds of all workspaces but the loud one.
  double p99(const LimitsScenario &Scenario) {
    for (const LimitsArrival &Arrival : makeArrivals(Scenario))
      this->Loop.after(Arrival.At,
                       [this, W = Arrival.Workspace] { this->arrive(W); });
    this->Loop.run(Scenario.Length);
    if (this->Times.empty())
      return 0;
    const auto Place = this->Times.begin() +
                       std::ptrdiff_t(0.99 * double(this->Times.size() - 1));
    std::nth_element(this->Times.begin(), Place, this->Times.end());
    return *Place;
  }

  std::uint64_t droppedOfOthers() const { return this->Dropped; }

private:
  void arrive(std::size_t Workspace) {
    const auto Now = Clock::now();
    if (this->Limited && !this->Buckets[Workspace].tryTake(OneRequest, Now))
      return;
    const std::uint64_t Id = this->Requests.size();
    this->Requests.push_back({Workspace, Now});
    // First come, first served is the same queue with a single workspace.
    const std::string Name = this->Fair ? workspaceName(Workspace) : "all";
    if (!this->Queue.push({Id, Name, Now + RequestDeadline}, Now))
      this->Dropped += Workspace != LoudWorkspace ? 1 : 0;
    this->dispatch();
  }

  void dispatch() {
    std::vector<QueuedRequest> Expired;
    while (this->Busy < Slots) {
      const auto Next = this->Queue.pop(Clock::now(), Expired);
      if (!Next)
        break;
      ++this->Busy;
      const auto Service =
          LeastService +
          Clock::duration(Clock::rep(
              this->Random() %
              std::uint64_t(
                  Clock::duration(MostService - LeastService).count())));
      this->Loop.after(Service, [this, Id = Next->Id] { this->finish(Id); });
    }
    for (const QueuedRequest &Item : Expired)
      this->Dropped += this->Requests[Item.Id].first != LoudWorkspace ? 1 : 0;
  }

  void finish(std::uint64_t Id) {
    --this->Busy;
    const auto &[Workspace, Start] = this->Requests[Id];
    if (Workspace != LoudWorkspace)
      this->Times.push_back(
          std::chrono::duration<double, std::milli>(Clock::now() - Start)
              .count());
    this->dispatch();
  }

  bool Fair;
  bool Limited;
  RandomEngine Random;
  EventLoop Loop;
  FairQueue Queue;
  std::vector<TokenBucket> Buckets;
  std::vector<std::pair<std::size_t, Clock::time_point>> Requests;
  std::vector<double> Times;
  std::size_t Busy = 0;
  std::uint64_t Dropped = 0;
};

void printLine(const char *Name, std::uint64_t Seed, bool Fair, bool Limited) {
  LimitsScenario Before;
  Before.Seed = Seed;
  LimitsScenario During = Before;
  During.Loud = int(LoudWorkspace);
  QueueRun Quiet(Seed, Fair, Limited);
  const double First = Quiet.p99(Before);
  QueueRun Loud(Seed, Fair, Limited);
  const double Second = Loud.p99(During);
  std::printf("  %-24s %10.2f %10.2f %9.1f%% %10llu %10llu\n", Name, First,
              Second, 100 * (Second / First - 1),
              static_cast<unsigned long long>(Quiet.droppedOfOthers()),
              static_cast<unsigned long long>(Loud.droppedOfOthers()));
}

} // namespace

void runFairQueueBench(std::uint64_t Seed) {
  std::printf("\nOne workspace (w%zu) at ten times its rate; p99 of the others "
              "in ms, %zu slots, 10 to 30 ms each\n",
              LoudWorkspace, Slots);
  std::printf("  %-24s %10s %10s %10s %10s %10s\n", "", "before", "during",
              "change", "dropped", "dropped");
  printLine("rate limit, fair queue", Seed, true, true);
  printLine("rate limit, one queue", Seed, false, true);
  printLine("no limit, fair queue", Seed, true, false);
  printLine("no limit, one queue", Seed, false, false);
}

} // namespace rr
