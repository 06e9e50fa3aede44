#include "bench/LimitsPolicies.h"

#include "bench/ShareFleet.h"
#include "limits/TokenBucket.h"

#include <cstdio>

namespace rr {

namespace {

using namespace std::chrono_literals;

/// Part of the rate at which the shares count as moved. The balancer gives 90%
/// by demand and the instance's part of the equal 10%.
constexpr double FollowedPart = 0.85;

TokenBucket bucketOf(std::size_t Workspace, double Part) {
  TokenBucket Bucket(Clock::now());
  Bucket.setRate(toMicroRequests(BenchRates[Workspace] * Part), Clock::now());
  Bucket.setCapacity(toMicroRequests(BenchBursts[Workspace] * Part),
                     Clock::now());
  Bucket.deposit(Bucket.capacity());
  return Bucket;
}

bool isCutOff(const LimitsScenario &Scenario, const EventLoop &Loop,
              std::size_t Instance) {
  return Scenario.CutAt && regionOf(Instance) == BenchRegions - 1 &&
         Loop.elapsed() >= *Scenario.CutAt &&
         Loop.elapsed() < *Scenario.CutAt + Scenario.CutTime;
}

bool isDown(const LimitsScenario &Scenario, const EventLoop &Loop,
            std::size_t Instance) {
  return Scenario.KillAt && Instance == 5 &&
         Loop.elapsed() >= *Scenario.KillAt &&
         Loop.elapsed() < *Scenario.KillAt + Scenario.RestartTime;
}

} // namespace

std::uint64_t runShares(const LimitsScenario &Scenario, bool BySecond) {
  EventLoop Loop;
  LimitsTally Tally(Scenario);
  ShareFleet Fleet(Scenario, Loop, Tally);
  for (const LimitsArrival &Arrival : makeArrivals(Scenario))
    Loop.after(Arrival.At, [&Fleet, Arrival] {
      Fleet.arrive(Arrival.Workspace, Arrival.Instance);
    });
  Loop.run(Scenario.Length);
  if (!BySecond) {
    Tally.print("conserved shares");
    std::printf("  %-22s %.1f share messages/s, %llu epochs\n", "",
                double(Fleet.shareMessages()) / double(Scenario.Length.count()),
                static_cast<unsigned long long>(Fleet.epochs()));
    return Tally.overAdmitted();
  }
  std::printf("  wrongful %% from second 14 on:");
  for (std::size_t Second = 14; Second < 42; ++Second)
    std::printf(" %.1f", Tally.wrongfulInSecond(Second));
  std::printf("\n");
  return Tally.overAdmitted();
}

void runEqualShares(const LimitsScenario &Scenario) {
  EventLoop Loop;
  LimitsTally Tally(Scenario);
  std::vector<std::vector<TokenBucket>> Buckets(BenchInstances);
  for (auto &Instance : Buckets)
    for (std::size_t I = 0; I < BenchWorkspaces; ++I)
      Instance.push_back(bucketOf(I, 1.0 / double(BenchInstances)));
  for (const LimitsArrival &Arrival : makeArrivals(Scenario))
    Loop.after(Arrival.At, [&, Arrival] {
      if (isCutOff(Scenario, Loop, Arrival.Instance) ||
          isDown(Scenario, Loop, Arrival.Instance))
        return Tally.unserved();
      const auto Request = Tally.arrived(Arrival.Workspace, Loop.seconds());
      if (Buckets[Arrival.Instance][Arrival.Workspace].tryTake(OneRequest,
                                                               Clock::now()))
        Tally.admitted(Request, Loop.seconds());
      else
        Tally.refused(Request, Loop.seconds());
    });
  Loop.run(Scenario.Length);
  Tally.print("static equal shares");
}

void runCentralCounter(const LimitsScenario &Scenario) {
  EventLoop Loop;
  LimitsTally Tally(Scenario);
  std::vector<TokenBucket> Buckets;
  for (std::size_t I = 0; I < BenchWorkspaces; ++I)
    Buckets.push_back(bucketOf(I, 1));
  for (const LimitsArrival &Arrival : makeArrivals(Scenario))
    Loop.after(Arrival.At, [&, Arrival] {
      if (isCutOff(Scenario, Loop, Arrival.Instance) ||
          isDown(Scenario, Loop, Arrival.Instance))
        return Tally.unserved();
      const auto Request = Tally.arrived(Arrival.Workspace, Loop.seconds());
      const Clock::duration Delay = regionOf(Arrival.Instance) == 0
                                        ? Clock::duration(1ms)
                                        : Scenario.BetweenRegions;
      Tally.message();
      Loop.after(Delay, [&, Arrival, Request, Delay] {
        const bool Admitted =
            Buckets[Arrival.Workspace].tryTake(OneRequest, Clock::now());
        Tally.message();
        if (Admitted)
          Tally.admitted(Request, Loop.seconds(),
                         std::chrono::duration<double>(Delay).count());
        else
          Tally.refused(Request, Loop.seconds());
      });
    });
  Loop.run(Scenario.Length);
  Tally.print("central counter");
}

void runFollowing(const LimitsScenario &Scenario) {
  LimitsScenario Quiet = Scenario;
  Quiet.Length = 60s;
  EventLoop Loop;
  LimitsTally Tally(Quiet);
  ShareFleet Fleet(Quiet, Loop, Tally);
  constexpr std::size_t Moved = 2;
  const double Rate = BenchRates[Moved] * Quiet.Load;
  std::vector<double> Times;
  // The demand of one workspace is at instance 0 and 11 in turns, 10 s each.
  double MovedAt = 0;
  bool Followed = true;
  for (double At = 0; At < 60; At += 1 / Rate) {
    const std::size_t Turn = std::size_t(At / 10);
    const std::size_t Instance = Turn % 2 == 0 ? 0 : 11;
    const auto Time = std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(At));
    Loop.after(Time, [&, At, Turn, Instance] {
      if (double(Turn) * 10 != MovedAt) {
        MovedAt = double(Turn) * 10;
        Followed = false;
      }
      if (!Followed && Fleet.heldPart(Moved, Instance) >= FollowedPart) {
        Followed = true;
        Times.push_back(At - MovedAt);
      }
      Fleet.arrive(Moved, Instance);
    });
  }
  Loop.run(Quiet.Length);
  std::printf("\nSeconds until 85%% of the rate followed a demand that moved "
              "between regions:");
  for (const double Time : Times)
    std::printf(" %.2f", Time);
  std::printf(" (5 moves)\n");
  Tally.print("conserved shares");
}

} // namespace rr
